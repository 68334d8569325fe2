#include "commands.h"

#include "vmclient.h"

#include <app/zonewriter.h>
#include <base/timeline.h>
#include <operators/declarations.h>
#include <operators/objectdiff.h>
#include <operators/review.h>
#include <operators/reviewplot.h>
#include <operators/table.h>
#include <platform/publication.h>
#include <steering/schema.h>

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

namespace Wasabistair::Tools {

namespace {

using Json = nlohmann::json;
using Operators::Table;
using Platform::ObjectStore;

constexpr int vmTimeoutMs = 2'000;
constexpr std::int64_t pollMs = 50;
constexpr std::int64_t usPerMs = 1'000;

void print(const Table &table, OutputFormat format)
{
    switch (format) {
    case OutputFormat::Table:
        std::cout << table.toText();
        return;
    case OutputFormat::Json:
        std::cout << table.toJson();
        return;
    case OutputFormat::Csv:
        std::cout << table.toCsv();
        return;
    }
}

ExitCode platformFailed(const Platform::PlatformError &error)
{
    std::cerr << "wasabistairctl: platform: " << Platform::toString(error.failure) << " (" << error.key << ")\n";
    return ExitCode::PlatformFailed;
}

std::int64_t nowMs()
{
    return Poco::Timestamp().epochMicroseconds() / usPerMs;
}

std::string timeText(std::int64_t wallMs)
{
    const Poco::Timestamp stamp(wallMs * usPerMs);
    return Poco::DateTimeFormatter::format(stamp, Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
}

std::string shown(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

ExitCode printFaults(const std::vector<Operators::LocatedFault> &faults, OutputFormat format)
{
    if (format == OutputFormat::Table) {
        for (const Operators::LocatedFault &fault : faults) {
            std::cerr << Operators::toString(fault) << "\n";
        }
        return ExitCode::Faults;
    }
    Table table({"file", "line", "object", "field", "fault", "given", "hint"});
    for (const Operators::LocatedFault &fault : faults) {
        table.addRow({fault.file, std::to_string(fault.line), fault.fault.object, fault.fault.field, std::string(Steering::toString(fault.fault.kind)),
            fault.fault.given, fault.fault.hint});
    }
    print(table, format);
    return ExitCode::Faults;
}

/// Objects of the accepted generation, or nothing when none was ever published.
Base::Result<std::optional<Steering::ObjectSet>> publishedObjects(ObjectStore &store, const Platform::VersionedHead &head)
{
    if (head.head.history.empty()) {
        return std::optional<Steering::ObjectSet>();
    }
    BOOST_LEAF_AUTO(manifest, store.get(Platform::partKey(head.head.current().manifestDigest)));
    const auto fetch = [&](const Platform::Part &part) -> std::optional<std::string> {
        const auto value = Platform::tryStore([&] { return store.get(Platform::partKey(part.digest)); });
        return value ? std::optional(value.value->value) : std::nullopt;
    };
    const auto decoded = Base::attempt<Platform::ContentError>([&] { return Platform::decodeContent(manifest.value, fetch); }, Platform::ContentError{});
    if (!decoded) {
        return Base::Leaf::new_error(Platform::PlatformError{Platform::PlatformFailure::BadAnswer, "content"});
    }
    return std::optional(*decoded.value);
}

std::string newToken()
{
    std::random_device device;
    std::string token;
    constexpr int words = 4;
    for (int i = 0; i < words; ++i) {
        token += std::to_string(device()) + "-";
    }
    return token;
}

std::vector<Steering::Vm> entryVms(const Platform::VmList &list)
{
    std::vector<Steering::Vm> vms;
    std::copy_if(list.vms.begin(), list.vms.end(), std::back_inserter(vms), [](const Steering::Vm &vm) { return vm.kind == Steering::VmKind::Entry; });
    return vms;
}

/// Entry VMs that have not confirmed @p generation; asks until there is none or the time is up.
std::vector<std::string> laggingVms(ObjectStore &store, std::uint64_t generation, std::int64_t waitMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    const auto list = Platform::tryStore([&] { return store.vms(); });
    if (!list) {
        return {"(the list of VMs could not be read)"};
    }
    std::vector<Steering::Vm> open = entryVms(*list.value);
    while (true) {
        const auto answers = askVms(open, "/v1/status", vmTimeoutMs);
        std::erase_if(open, [&](const Steering::Vm &vm) {
            const auto found = answers.find(vm.id);
            return found != answers.end() && found->second.body.value("generation", std::uint64_t{0}) >= generation;
        });
        if (open.empty() || std::chrono::steady_clock::now() >= end) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
    }
    std::vector<std::string> lagging;
    for (const Steering::Vm &vm : open) {
        lagging.push_back(vm.id);
    }
    return lagging;
}

ExitCode awaitInForce(ObjectStore &store, std::uint64_t generation, const CommandOptions &options)
{
    if (options.waitMs == 0) {
        return ExitCode::Ok;
    }
    const std::vector<std::string> lagging = laggingVms(store, generation, options.waitMs);
    if (lagging.empty()) {
        std::cout << "generation " << generation << " is in force on every entry VM\n";
        return ExitCode::Ok;
    }
    for (const std::string &vm : lagging) {
        std::cout << "not confirmed by " << vm << "\n";
    }
    return ExitCode::NotEverywhere;
}

/// Status of every listed VM: asked directly, else as its zone last reported it.
std::map<std::string, Json> allStatus(ObjectStore &store, const std::vector<Steering::Vm> &vms)
{
    std::map<std::string, Json> result;
    const auto keys = Platform::tryStore([&] { return store.list(App::statusPrefix()); });
    for (const std::string &key : keys ? *keys.value : std::vector<std::string>()) {
        const auto value = Platform::tryStore([&] { return store.get(key); });
        const Json json = value ? Json::parse(value.value->value, nullptr, false) : Json();
        for (const Json &vm : json.is_object() ? json.value("vms", Json::array()) : Json::array()) {
            if (vm.is_object()) {
                result[vm.value("vm", "")] = vm;
                result[vm.value("vm", "")]["source"] = "reported";
            }
        }
    }
    for (const auto &[id, answer] : askVms(vms, "/v1/status", vmTimeoutMs)) {
        if (answer.body.is_object()) {
            result[id] = answer.body;
            result[id]["source"] = "asked";
        }
    }
    return result;
}

void printShifts(const std::map<std::string, Json> &status, OutputFormat format)
{
    std::map<std::string, Json> sums;
    for (const auto &[vm, json] : status) {
        for (const Json &shift : json.value("shifts", Json::array())) {
            Json &sum = sums[shift["name"]];
            sum["active"] = shift["active"];
            sum["cap"] = shift["capPermille"] > 0 ? shown(shift["capPermille"]) + "/1000" : shown(shift["capRequestsPerSecond"]) + "/s";
            sum["moved"] = sum.value("moved", 0) + shift["moved"].get<int>();
            sum["stayed"] = sum.value("stayed", 0) + shift["stayed"].get<int>();
        }
    }
    Table table({"shift", "active", "cap", "moved", "stayed"});
    for (const auto &[name, sum] : sums) {
        table.addRow({name, shown(sum["active"]), shown(sum["cap"]), shown(sum["moved"]), shown(sum["stayed"])});
    }
    if (!sums.empty()) {
        print(table, format);
    }
}

void printStops(const std::map<std::string, Json> &status, OutputFormat format)
{
    std::map<std::string, Operators::StopFigures> sums;
    for (const auto &[vm, json] : status) {
        for (const Json &stop : json.value("stops", Json::array())) {
            const Operators::StopFigures figures{stop["start"], stop["lastEnd"], stop["inFlight"]};
            const auto [entry, added] = sums.try_emplace(stop["name"], figures);
            if (!added) {
                entry->second = entry->second.mergedWith(figures);
            }
        }
    }
    Table table({"planned stop", "start", "in flight", "last end"});
    for (const auto &[name, sum] : sums) {
        table.addRow({name, timeText(sum.start), std::to_string(sum.inFlight), timeText(sum.lastEnd)});
    }
    if (!sums.empty()) {
        print(table, format);
    }
}

Base::Result<Operators::Figures> monthFigures(ObjectStore &store, const std::string &month)
{
    BOOST_LEAF_AUTO(keys, store.list(Operators::reviewPrefix(month)));
    Operators::Figures sum;
    for (const std::string &key : keys) {
        BOOST_LEAF_AUTO(value, store.get(key));
        const auto review = Operators::decodeReview(value.value);
        if (!review) {
            return Base::Leaf::new_error(Platform::PlatformError{Platform::PlatformFailure::BadAnswer, key});
        }
        sum = sum.mergedWith(review->total());
    }
    return sum;
}

std::string decimal(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f", value);
    return text;
}

Table reviewTable(const Operators::Figures &figures)
{
    Table table({"service", "place", "answered", "refused", "failed", "p50 ms", "p99 ms", "mean headroom %", "lowest headroom %"});
    constexpr double usPerMsDecimal = 1'000;
    constexpr double tenth = 10;
    constexpr double percent = 100;
    for (const auto &[key, place] : figures.places) {
        table.addRow({key.first, key.second.empty() ? "(none)" : key.second, std::to_string(place.answered), std::to_string(place.refused),
            std::to_string(place.failed), decimal(static_cast<double>(place.latency.quantileUs(0.5)) / usPerMsDecimal),
            decimal(static_cast<double>(place.latency.quantileUs(0.99)) / usPerMsDecimal), decimal(Operators::meanHeadroomPercent(place)),
            decimal(percent - static_cast<double>(place.peakPermille) / tenth)});
    }
    return table;
}

std::string fieldTypeName(Steering::FieldType type)
{
    switch (type) {
    case Steering::FieldType::Text:
        return "text";
    case Steering::FieldType::Name:
        return "name";
    case Steering::FieldType::Reference:
        return "reference";
    case Steering::FieldType::Integer:
        return "whole number";
    case Steering::FieldType::Time:
        return "time";
    case Steering::FieldType::Boolean:
        return "true or false";
    case Steering::FieldType::TextList:
        return "list of texts";
    case Steering::FieldType::ObjectList:
        return "list";
    }
    return "";
}

void printFields(const std::vector<Steering::FieldSpec> &fields, const std::string &prefix)
{
    for (const Steering::FieldSpec &field : fields) {
        const std::string type = fieldTypeName(field.type) + (field.referenceKind.empty() ? "" : " to " + field.referenceKind);
        const bool bounded = field.type == Steering::FieldType::Integer;
        const std::string bounds = bounded ? std::to_string(field.minimum) + " to " + std::to_string(field.maximum) : "";
        const std::string fallback = field.required ? "required" : (field.defaultValue == INT64_MAX ? "none" : "`" + field.defaultValue.dump() + "`");
        std::cout << "| `" << prefix << field.name << "` | " << type << " | " << field.unit << " | " << bounds << " | " << fallback << " | " << field.help
                  << " |\n";
        printFields(field.fields, prefix + field.name + "[].");
    }
}

} // namespace

ExitCode checkCommand(const std::string &directory, const CommandOptions &options)
{
    const Operators::Declarations declarations = Operators::loadDeclarations(directory);
    if (!declarations.faults.empty()) {
        return printFaults(declarations.faults, options.output);
    }
    std::cout << "no faults: " << declarations.objects.services.size() << " services, " << declarations.objects.places.size() << " places, "
              << declarations.objects.shifts.size() << " shifts, " << declarations.objects.plannedStops.size() << " planned stops, "
              << declarations.objects.clientBlocks.size() << " client blocks\n";
    return ExitCode::Ok;
}

ExitCode diffCommand(ObjectStore &store, const std::string &directory, const CommandOptions &options)
{
    const Operators::Declarations declarations = Operators::loadDeclarations(directory);
    if (!declarations.faults.empty()) {
        return printFaults(declarations.faults, options.output);
    }
    const auto head = Platform::tryStore([&] { return Platform::readHead(store); });
    if (!head) {
        return platformFailed(*head.error);
    }
    const auto before = Platform::tryStore([&] { return publishedObjects(store, *head.value); });
    if (!before) {
        return platformFailed(*before.error);
    }
    Table table({"change", "object", "field", "before", "after"});
    for (const auto &change : Operators::diffObjects(before.value->value_or(Steering::ObjectSet{}), declarations.objects)) {
        table.addRow({std::string(Operators::toString(change.kind)), change.object, change.field, change.before, change.after});
    }
    print(table, options.output);
    return ExitCode::Ok;
}

ExitCode publishCommand(ObjectStore &store, const std::string &directory, const CommandOptions &options)
{
    // The head is read before the files, so that the check cannot be older than what it is conditional on.
    const auto head = Platform::tryStore([&] { return Platform::readHead(store); });
    if (!head) {
        return platformFailed(*head.error);
    }
    const std::uint64_t baseGeneration = head.value->head.history.empty() ? 0 : head.value->head.current().generation;
    if (options.baseGeneration >= 0 && static_cast<std::uint64_t>(options.baseGeneration) != baseGeneration) {
        std::cerr << "wasabistairctl: generation " << baseGeneration << " is published, not " << options.baseGeneration << "; run diff again\n";
        return ExitCode::Raced;
    }
    const Operators::Declarations declarations = Operators::loadDeclarations(directory);
    if (!declarations.faults.empty()) {
        return printFaults(declarations.faults, options.output);
    }
    const Platform::Content content = Platform::encodeContent(declarations.objects);
    if (baseGeneration > 0 && head.value->head.current().manifestDigest == content.manifestDigest) {
        std::cout << "nothing to publish: generation " << baseGeneration << " has the same content\n";
        return awaitInForce(store, baseGeneration, options);
    }
    const Platform::PublishOutcome outcome = Platform::publish(store, content, *head.value, newToken(), nowMs());
    switch (outcome.status) {
    case Platform::PublishStatus::Accepted:
        std::cout << "accepted: generation " << outcome.generation << ", " << outcome.bytesWritten << " bytes written\n";
        return awaitInForce(store, outcome.generation, options);
    case Platform::PublishStatus::Raced:
        std::cerr << "wasabistairctl: somebody else published generation " << outcome.generation << "; nothing of yours was published; run diff again\n";
        return ExitCode::Raced;
    case Platform::PublishStatus::Unknown:
        std::cerr << "wasabistairctl: the platform failed; whether the configuration was accepted is unknown; see history\n";
        return ExitCode::Unknown;
    case Platform::PublishStatus::NotPublished:
        std::cerr << "wasabistairctl: the platform failed; nothing was published\n";
        return ExitCode::PlatformFailed;
    }
    return ExitCode::Unknown;
}

ExitCode statusCommand(ObjectStore &store, const CommandOptions &options)
{
    const auto list = Platform::tryStore([&] { return store.vms(); });
    if (!list) {
        return platformFailed(*list.error);
    }
    const std::vector<Steering::Vm> vms = entryVms(*list.value);
    const std::map<std::string, Json> status = allStatus(store, vms);
    const auto head = Platform::tryStore([&] { return Platform::readHead(store); });
    const std::uint64_t accepted = head && !head.value->head.history.empty() ? head.value->head.current().generation : 0;
    Table table({"vm", "zone", "source", "generation", "in force", "ready", "draining", "slot", "platform", "links", "suspects"});
    for (const Steering::Vm &vm : vms) {
        const auto found = status.find(vm.id);
        if (found == status.end()) {
            table.addRow({vm.id, vm.zone, "no answer", "?", "unknown", "?", "?", "?", "?", "?", ""});
            continue;
        }
        const Json &json = found->second;
        const bool current = json.value("generation", std::uint64_t{0}) >= accepted;
        table.addRow({vm.id, vm.zone, json.value("source", ""), shown(json["generation"]), current ? "yes" : "lags behind " + std::to_string(accepted),
            shown(json["ready"]), shown(json["draining"]), shown(json["slot"]), json.value("platform", false) ? "reached" : "not reached",
            shown(json["linksUp"]) + "/" + shown(json["linksWanted"]), json["suspects"].dump()});
    }
    print(table, options.output);
    printShifts(status, options.output);
    printStops(status, options.output);
    return ExitCode::Ok;
}

ExitCode timelineCommand(ObjectStore &store, const CommandOptions &options)
{
    const auto list = Platform::tryStore([&] { return store.vms(); });
    if (!list) {
        return platformFailed(*list.error);
    }
    std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, Base::Event> events;
    for (const auto &[vm, answer] : askVms(entryVms(*list.value), "/v1/timeline", vmTimeoutMs)) {
        for (const Json &json : answer.body.is_array() ? answer.body : Json::array()) {
            const Base::Event event = json.get<Base::Event>();
            events.emplace(std::tuple(event.node, event.incarnation, event.sequence), event);
        }
    }
    std::vector<Base::Event> ordered;
    for (const auto &[key, event] : events) {
        const bool wanted = (options.vm.empty() || event.node == options.vm) && (options.kind.empty() || Base::toString(event.kind) == options.kind);
        if (wanted) {
            ordered.push_back(event);
        }
    }
    std::sort(ordered.begin(), ordered.end(), Base::happensBefore);
    if (options.limit > 0 && ordered.size() > static_cast<std::size_t>(options.limit)) {
        ordered.erase(ordered.begin(), ordered.end() - options.limit);
    }
    Table table({"time", "order", "vm", "incarnation", "generation", "event", "subject", "cause"});
    for (const Base::Event &event : ordered) {
        table.addRow({timeText(event.time.wall), std::to_string(event.time.logical), event.node, std::to_string(event.incarnation),
            std::to_string(event.generation), std::string(Base::toString(event.kind)), event.subject, event.cause});
    }
    print(table, options.output);
    return ExitCode::Ok;
}

ExitCode reportCommand(ObjectStore &store, const CommandOptions &options)
{
    const std::string month = options.month.empty() ? Operators::monthOf(nowMs()) : options.month;
    const auto figures = Platform::tryStore([&] { return monthFigures(store, month); });
    if (!figures) {
        return platformFailed(*figures.error);
    }
    print(reviewTable(*figures.value), options.output);
    Table drains({"planned stop", "start", "drain time s", "in flight"});
    constexpr double msPerSecond = 1'000;
    for (const auto &[name, stop] : figures.value->stops) {
        const double seconds = static_cast<double>(std::max<std::int64_t>(0, stop.lastEnd - stop.start)) / msPerSecond;
        drains.addRow({name, timeText(stop.start), decimal(seconds), std::to_string(stop.inFlight)});
    }
    print(drains, options.output);
    if (!options.plotFile.empty()) {
        std::ofstream out(options.plotFile);
        out << Operators::reviewPlot(*figures.value, month);
        if (!out.good()) {
            std::cerr << "wasabistairctl: cannot write " << options.plotFile << "\n";
            return ExitCode::BadUsage;
        }
    }
    return ExitCode::Ok;
}

ExitCode lookupCommand(ObjectStore &store, const CommandOptions &options)
{
    const auto list = Platform::tryStore([&] { return store.vms(); });
    if (!list) {
        return platformFailed(*list.error);
    }
    std::string path = "/v1/lookup?service=" + options.service;
    if (!options.client.empty()) {
        path += "&client=" + options.client;
    }
    for (const Steering::Vm &vm : entryVms(*list.value)) {
        if (!options.vm.empty() && vm.id != options.vm) {
            continue;
        }
        const auto answer = askVm({vm.host, vm.port}, path, vmTimeoutMs);
        if (!answer) {
            continue;
        }
        if (options.output == OutputFormat::Json || answer->status != 200) {
            std::cout << answer->body.dump(2) << "\n";
            return answer->status == 200 ? ExitCode::Ok : ExitCode::NotFound;
        }
        std::cout << "answered by " << vm.id << ", generation " << shown(answer->body["generation"]) << "\n";
        std::cout << "site: " << (answer->body["site"] == "" ? "none; no client block covers the address" : shown(answer->body["site"])) << "\n";
        std::cout << "entry VMs, in this order:\n";
        for (const Json &entry : answer->body["entryVms"]) {
            std::cout << "  " << shown(entry["address"]) << " (" << shown(entry["zone"]) << ")\n";
        }
        std::cout << "places, nearest first:\n";
        for (const Json &place : answer->body["places"]) {
            std::cout << "  " << shown(place) << "\n";
        }
        return ExitCode::Ok;
    }
    std::cerr << "wasabistairctl: no entry VM could be reached\n";
    return ExitCode::NotFound;
}

ExitCode historyCommand(ObjectStore &store, const CommandOptions &options)
{
    const auto head = Platform::tryStore([&] { return Platform::readHead(store); });
    if (!head) {
        return platformFailed(*head.error);
    }
    Table table({"generation", "published", "manifest"});
    for (const Platform::HeadEntry &entry : head.value->head.history) {
        table.addRow({std::to_string(entry.generation), timeText(entry.wall), entry.manifestDigest});
    }
    print(table, options.output);
    return ExitCode::Ok;
}

ExitCode pruneCommand(ObjectStore &store)
{
    const auto removed = Platform::tryStore([&] { return Platform::pruneContent(store); });
    if (!removed) {
        return platformFailed(*removed.error);
    }
    std::cout << "removed " << *removed.value << " objects that no kept generation uses\n";
    return ExitCode::Ok;
}

ExitCode schemaCommand()
{
    std::cout << "# Objects\n\nMade by `wasabistairctl schema`. One object is one YAML document with its `kind`.\n";
    std::cout << "Times are given as `2026-12-04T10:00:00Z`; names are up to 63 of a-z, 0-9 and -.\n";
    for (const Steering::KindSpec &kind : Steering::kinds()) {
        std::cout << "\n## " << kind.kind << "\n\n" << kind.help << "\n\n";
        std::cout << "| field | type | unit | bounds | default | meaning |\n|---|---|---|---|---|---|\n";
        printFields(kind.fields, "");
    }
    return ExitCode::Ok;
}

} // namespace Wasabistair::Tools
