#include "objects.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace Wasabistair::Steering {

namespace {

using Json = nlohmann::json;

constexpr int ipv4Bits = 32;
constexpr int octets = 4;
constexpr int octetBits = 8;
constexpr unsigned maxOctet = 255;

std::int64_t number(const Json &json, const char *field)
{
    return json.value(field, std::int64_t{0});
}

std::string text(const Json &json, const char *field)
{
    return json.value(field, std::string());
}

std::vector<std::string> texts(const Json &json, const char *field)
{
    return json.value(field, std::vector<std::string>());
}

WallMs endTime(const Json &json)
{
    return json.value("end", noEnd);
}

Service readService(const Json &json)
{
    Service service{text(json, "name"), texts(json, "hosts"), text(json, "pathPrefix"), {}, number(json, "requiredSlots"), number(json, "deadlineMs"),
        number(json, "progressTimeoutMs"), number(json, "queueWaitMs"), number(json, "maxAttempts"), number(json, "retryPercent"), number(json, "maxBodyBytes"),
        number(json, "lookupMaxAgeSeconds"), number(json, "cancelMs"), number(json, "hedgeAfterMs")};
    for (const Json &operation : json.value("operations", Json::array())) {
        service.operations.push_back({text(operation, "method"), text(operation, "pathPrefix"), operation.value("idempotent", false)});
    }
    return service;
}

Json writeService(const Service &service)
{
    Json operations = Json::array();
    for (const Operation &operation : service.operations) {
        operations.push_back({{"method", operation.method}, {"pathPrefix", operation.pathPrefix}, {"idempotent", operation.idempotent}});
    }
    return {{"kind", "Service"}, {"name", service.name}, {"hosts", service.hosts}, {"pathPrefix", service.pathPrefix}, {"operations", operations},
        {"requiredSlots", service.requiredSlots}, {"deadlineMs", service.deadlineMs}, {"progressTimeoutMs", service.progressTimeoutMs},
        {"queueWaitMs", service.queueWaitMs}, {"maxAttempts", service.maxAttempts}, {"retryPercent", service.retryPercent},
        {"maxBodyBytes", service.maxBodyBytes}, {"lookupMaxAgeSeconds", service.lookupMaxAgeSeconds}, {"cancelMs", service.cancelMs},
        {"hedgeAfterMs", service.hedgeAfterMs}};
}

Place readPlace(const Json &json)
{
    return {text(json, "name"), text(json, "service"), text(json, "region"), texts(json, "zones"), number(json, "servers"), number(json, "slotsPerServer"),
        number(json, "queuePerServer"), number(json, "connectionsPerServer"), number(json, "localSharePercent"), number(json, "coldStartSeconds")};
}

Json writePlace(const Place &place)
{
    return {{"kind", "Place"}, {"name", place.name}, {"service", place.service}, {"region", place.region}, {"zones", place.zones}, {"servers", place.servers},
        {"slotsPerServer", place.slotsPerServer}, {"queuePerServer", place.queuePerServer}, {"connectionsPerServer", place.connectionsPerServer},
        {"localSharePercent", place.localSharePercent}, {"coldStartSeconds", place.coldStartSeconds}};
}

Shift readShift(const Json &json)
{
    return {text(json, "name"), text(json, "service"), text(json, "from"), text(json, "to"), number(json, "capPermille"), number(json, "capRequestsPerSecond"),
        number(json, "rampSeconds"), number(json, "start"), endTime(json), json.value("countSpill", true)};
}

Json writeShift(const Shift &shift)
{
    return {{"kind", "Shift"}, {"name", shift.name}, {"service", shift.service}, {"from", shift.from}, {"to", shift.to}, {"capPermille", shift.capPermille},
        {"capRequestsPerSecond", shift.capRequestsPerSecond}, {"rampSeconds", shift.rampSeconds}, {"start", shift.start}, {"end", shift.end},
        {"countSpill", shift.countSpill}};
}

PlannedStop readPlannedStop(const Json &json)
{
    return {text(json, "name"), text(json, "place"), text(json, "zone"), text(json, "server"), number(json, "start"), endTime(json)};
}

Json writePlannedStop(const PlannedStop &stop)
{
    return {{"kind", "PlannedStop"}, {"name", stop.name}, {"place", stop.place}, {"zone", stop.zone}, {"server", stop.server}, {"start", stop.start},
        {"end", stop.end}};
}

Json writeSite(const Site &site)
{
    return {{"kind", "Site"}, {"name", site.name}, {"region", site.region}, {"zones", site.zones}};
}

Json writeLink(const Link &link)
{
    return {{"kind", "Link"}, {"name", link.name}, {"regions", link.regions}, {"mbitPerSecond", link.mbitPerSecond}, {"delayMs", link.delayMs},
        {"sharePercent", link.sharePercent}};
}

Fleet readFleet(const Json &json)
{
    Fleet fleet{text(json, "name"), {}};
    for (const Json &region : json.value("regions", Json::array())) {
        fleet.regions.push_back({text(region, "region"), number(region, "vmSlots")});
    }
    return fleet;
}

Json writeFleet(const Fleet &fleet)
{
    Json regions = Json::array();
    for (const FleetRegion &region : fleet.regions) {
        regions.push_back({{"region", region.region}, {"vmSlots", region.vmSlots}});
    }
    return {{"kind", "Fleet"}, {"name", fleet.name}, {"regions", regions}};
}

template<typename T>
void sortByName(std::vector<T> &objects)
{
    std::sort(objects.begin(), objects.end());
}

template<typename T, typename F>
void append(Json &array, const std::vector<T> &objects, F &&write)
{
    for (const T &object : objects) {
        array.push_back(write(object));
    }
}

std::uint32_t prefixMask(int length)
{
    return length == 0 ? 0 : ~std::uint32_t{0} << (ipv4Bits - length);
}

} // namespace

ObjectSet objectsFromJson(const Json &objects)
{
    ObjectSet set;
    for (const Json &json : objects) {
        const std::string kind = text(json, "kind");
        if (kind == "Service") {
            set.services.push_back(readService(json));
        } else if (kind == "Place") {
            set.places.push_back(readPlace(json));
        } else if (kind == "Shift") {
            set.shifts.push_back(readShift(json));
        } else if (kind == "PlannedStop") {
            set.plannedStops.push_back(readPlannedStop(json));
        } else if (kind == "Site") {
            set.sites.push_back({text(json, "name"), text(json, "region"), texts(json, "zones")});
        } else if (kind == "Link") {
            set.links.push_back(
                {text(json, "name"), texts(json, "regions"), number(json, "mbitPerSecond"), number(json, "delayMs"), number(json, "sharePercent")});
        } else if (kind == "Fleet") {
            set.fleets.push_back(readFleet(json));
        }
    }
    sortByName(set.services);
    sortByName(set.places);
    sortByName(set.shifts);
    sortByName(set.plannedStops);
    sortByName(set.sites);
    sortByName(set.links);
    sortByName(set.fleets);
    return set;
}

Json objectsToJson(const ObjectSet &objects)
{
    Json array = Json::array();
    append(array, objects.services, writeService);
    append(array, objects.places, writePlace);
    append(array, objects.shifts, writeShift);
    append(array, objects.plannedStops, writePlannedStop);
    append(array, objects.sites, writeSite);
    append(array, objects.links, writeLink);
    append(array, objects.fleets, writeFleet);
    return array;
}

bool parseIpv4(const std::string &text, std::uint32_t &address)
{
    address = 0;
    const char *position = text.data();
    const char *const end = text.data() + text.size();
    for (int i = 0; i < octets; ++i) {
        unsigned octet = 0;
        const auto [next, error] = std::from_chars(position, end, octet);
        if (error != std::errc{} || octet > maxOctet) {
            return false;
        }
        address = (address << octetBits) | octet;
        position = next;
        if (i < octets - 1) {
            if (position == end || *position != '.') {
                return false;
            }
            ++position;
        }
    }
    return position == end;
}

bool parsePrefix(const std::string &text, std::uint32_t &address, std::uint8_t &length)
{
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos || !parseIpv4(text.substr(0, slash), address)) {
        return false;
    }
    unsigned bits = 0;
    const char *const end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data() + slash + 1, end, bits);
    if (error != std::errc{} || next != end || bits > ipv4Bits) {
        return false;
    }
    length = static_cast<std::uint8_t>(bits);
    return (address & ~prefixMask(length)) == 0;
}

std::string prefixToString(std::uint32_t address, std::uint8_t length)
{
    std::string text;
    for (int shift = ipv4Bits - octetBits; shift >= 0; shift -= octetBits) {
        text += std::to_string((address >> shift) & maxOctet);
        text += shift > 0 ? '.' : '/';
    }
    return text + std::to_string(length);
}

bool isIdempotent(const Service &service, const std::string &method, const std::string &path)
{
    const Operation *best = nullptr;
    for (const Operation &operation : service.operations) {
        const bool matches = operation.method == method && pathMatches(path, operation.pathPrefix);
        if (matches && (!best || operation.pathPrefix.size() > best->pathPrefix.size())) {
            best = &operation;
        }
    }
    if (best) {
        return best->idempotent;
    }
    static const std::vector<std::string> idempotentMethods = {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method) != idempotentMethods.end();
}

bool pathMatches(const std::string &path, const std::string &prefix)
{
    if (prefix.empty() || prefix == "/") {
        return true;
    }
    const std::string_view pathOnly = std::string_view(path).substr(0, path.find('?'));
    if (!pathOnly.starts_with(prefix)) {
        return false;
    }
    return pathOnly.size() == prefix.size() || prefix.back() == '/' || pathOnly[prefix.size()] == '/';
}

} // namespace Wasabistair::Steering
