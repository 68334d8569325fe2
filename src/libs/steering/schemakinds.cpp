#include "schema.h"

/// The kinds of objects that operators declare, with their fields.
namespace Wasabistair::Steering {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t maxCount = 1'000'000;
constexpr std::int64_t maxSeconds = 86'400;
constexpr std::int64_t maxDeadlineMs = 600'000;
constexpr std::int64_t maxBody = std::int64_t{1} << 40;

FieldSpec nameField()
{
    return {.name = "name", .type = FieldType::Name, .required = true, .help = "Unique among objects of its kind."};
}

FieldSpec integer(std::string name, std::int64_t minimum, std::int64_t maximum, Json defaultValue, std::string unit, std::string help)
{
    const bool required = defaultValue.is_null();
    return {.name = std::move(name),
        .type = FieldType::Integer,
        .required = required,
        .defaultValue = std::move(defaultValue),
        .minimum = minimum,
        .maximum = maximum,
        .unit = std::move(unit),
        .help = std::move(help)};
}

FieldSpec reference(std::string name, std::string kind, std::string help)
{
    return {.name = std::move(name), .type = FieldType::Reference, .required = true, .referenceKind = std::move(kind), .help = std::move(help)};
}

FieldSpec text(std::string name, bool required, std::string help)
{
    return {.name = std::move(name), .type = FieldType::Text, .required = required, .defaultValue = required ? Json() : Json(""), .help = std::move(help)};
}

FieldSpec textList(std::string name, bool required, std::string help)
{
    return {
        .name = std::move(name), .type = FieldType::TextList, .required = required, .defaultValue = required ? Json() : Json::array(), .help = std::move(help)};
}

FieldSpec time(std::string name, bool required, Json defaultValue, std::string help)
{
    return {.name = std::move(name), .type = FieldType::Time, .required = required, .defaultValue = std::move(defaultValue), .help = std::move(help)};
}

KindSpec serviceKind()
{
    FieldSpec operations{.name = "operations",
        .type = FieldType::ObjectList,
        .defaultValue = Json::array(),
        .help = "Overrides of the method's own idempotency; the longest matching path prefix wins."};
    operations.fields = {text("method", true, "HTTP method."), text("pathPrefix", true, "Path or its leading segments."),
        {.name = "idempotent", .type = FieldType::Boolean, .required = true, .help = "Whether the operation may run more than once."}};
    return {"Service", "A service that callers request, matched by host and path prefix.",
        {nameField(), textList("hosts", true, "Host names (without port) that callers use."),
            {.name = "pathPrefix", .type = FieldType::Text, .defaultValue = "/", .help = "Path or its leading segments."}, operations,
            integer("requiredSlots", 0, maxCount, 0, "slots", "Slots that must stay usable during planned stops."),
            integer("deadlineMs", 1, maxDeadlineMs, 10'000, "ms", "Deadline of the whole request unless the caller sets a shorter one."),
            integer("progressTimeoutMs", 100, maxDeadlineMs, 5'000, "ms", "Longest time without a byte from the caller or the upstream."),
            integer("queueWaitMs", 0, maxDeadlineMs, 200, "ms", "Maximum wait for a free slot before the request is rejected."),
            integer("maxAttempts", 1, 5, 3, "tries", "Maximum attempts of an idempotent request, including the first."),
            integer("retryPercent", 0, 100, 10, "%", "Maximum retries as a share of first attempts."),
            integer("maxBodyBytes", 0, maxBody, 64 << 20, "bytes", "Largest request body."),
            integer("lookupMaxAgeSeconds", 1, 300, 5, "s", "How long callers may cache a look-up answer."),
            integer("cancelMs", 0, maxDeadlineMs, 500, "ms",
                "Time within which an upstream stops a request whose connection was closed; its slot counts as occupied until then."),
            integer("hedgeAfterMs", 0, maxDeadlineMs, 0, "ms",
                "Wait for an answer to an idempotent request before a hedge is sent to a second server, within retryPercent; 0 for no hedges.")}};
}

KindSpec placeKind()
{
    return {"Place", "The servers of one service in one region.",
        {nameField(), reference("service", "Service", "The service that runs here."), text("region", true, "Region of the servers; must be in the fleet."),
            textList("zones", true, "Availability zones of the servers."), integer("servers", 1, maxCount, nullptr, "servers", "Number of servers expected."),
            integer("slotsPerServer", 1, 10'000, nullptr, "slots", "Requests that one server executes concurrently."),
            integer("queuePerServer", 0, 10'000, 0, "requests", "Requests that one server may queue beyond its slots."),
            integer("connectionsPerServer", 1, 100'000, 400, "connections", "Connections that one server accepts from all VMs together."),
            integer("localSharePercent", 1, 100, 75, "%", "Share of each server's slots that is reserved for entry VMs of its own region."),
            integer("coldStartSeconds", 0, maxSeconds, 30, "s", "Time over which a new server's usable slots rise to the full number.")}};
}

KindSpec shiftKind()
{
    return {"Shift", "Moves a capped part of a service's traffic from one place to another. Exactly one cap must be set.",
        {nameField(), reference("service", "Service", "The service whose traffic moves."),
            reference("from", "Place", "Place that the traffic is moved away from."), reference("to", "Place", "Place that the traffic is moved to."),
            integer("capPermille", 0, 1000, 0, "1/1000", "Largest share of the requests for `from` that is moved."),
            integer("capRequestsPerSecond", 0, maxCount, 0, "requests/s", "Largest number of requests moved in any second."),
            integer("rampSeconds", 0, maxSeconds, 0, "s", "Time from `start` over which the cap rises from 0."),
            time("start", false, 0, "Start; from publication on if absent."), time("end", false, INT64_MAX, "End; never if absent."),
            {.name = "countSpill",
                .type = FieldType::Boolean,
                .defaultValue = true,
                .help = "Whether requests that spill over from `from` to `to` for lack of free capacity count against the cap."}}};
}

KindSpec plannedStopKind()
{
    return {"PlannedStop", "A period in which a place, one of its zones or one of its servers gets no new requests.",
        {nameField(), reference("place", "Place", "The place that the stop applies to."), text("zone", false, "Only servers of this availability zone."),
            text("server", false, "Only this server, by its VM id."), time("start", true, nullptr, "Start; no new requests are sent from then on."),
            time("end", false, INT64_MAX, "End; new requests are sent again from then on. Never if absent.")}};
}

KindSpec fleetKind()
{
    FieldSpec regions{.name = "regions", .type = FieldType::ObjectList, .required = true, .help = "Regions with entry VMs."};
    regions.fields = {text("region", true, "Name of the region."),
        integer("vmSlots", 1, 1000, nullptr, "VMs", "Entry VMs among which the region's share of each server's slots is divided.")};
    return {"Fleet", "The entry VMs among which the capacity of servers is divided. Exactly one per configuration.", {nameField(), regions}};
}

KindSpec clientsKind()
{
    FieldSpec blocks{.name = "blocks", .type = FieldType::ObjectList, .defaultValue = Json::array(), .help = "Inline list of client blocks."};
    blocks.fields = {text("prefix", true, "IPv4 prefix, a.b.c.d/n."), reference("site", "Site", "Site that these clients are steered to.")};
    return {"Clients", "Client blocks and their sites; the longest matching prefix applies.",
        {nameField(), blocks, text("file", false, "File of `prefix,site` lines; the path is relative to the declaration file.")}};
}

KindSpec siteKind()
{
    return {"Site", "A group of availability zones that client blocks are steered to.",
        {nameField(), text("region", true, "Region of the site; must be in the fleet."), textList("zones", true, "Its availability zones.")}};
}

KindSpec linkKind()
{
    return {"Link", "The shared network path between two regions, with the same capacity in each direction.",
        {nameField(), textList("regions", true, "The two regions."),
            integer("mbitPerSecond", 1, 10'000'000, 4'000, "Mbit/s", "Capacity in each direction, for all traffic."),
            integer("delayMs", 0, 10'000, nullptr, "ms", "One-way delay."),
            integer("sharePercent", 1, 100, 50, "%", "Share of the capacity that this system may use.")}};
}

} // namespace

const std::vector<KindSpec> &kinds()
{
    static const std::vector<KindSpec> all = {serviceKind(), placeKind(), shiftKind(), plannedStopKind(), siteKind(), linkKind(), fleetKind(), clientsKind()};
    return all;
}

const KindSpec *findKind(std::string_view kind)
{
    for (const KindSpec &spec : kinds()) {
        if (spec.kind == kind) {
            return &spec;
        }
    }
    return nullptr;
}

} // namespace Wasabistair::Steering
