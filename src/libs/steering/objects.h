#pragma once

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// Routing decisions, computed from immutable values and in-memory counters without I/O; callers pass in the time.
namespace Wasabistair::Steering {

/// Milliseconds since the Unix epoch.
using WallMs = std::int64_t;
/// Milliseconds of a monotonic clock.
using MonotonicMs = std::int64_t;

/// End of a shift or planned stop that has none.
constexpr WallMs noEnd = INT64_MAX;

/// Declares whether requests of one method below one path may run more than once.
struct Operation {
    std::string method;
    std::string pathPrefix;
    bool idempotent = false;

    auto operator<=>(const Operation &) const = default;
};

/// A service that callers request, matched by host and path prefix.
struct Service {
    std::string name;
    std::vector<std::string> hosts;
    std::string pathPrefix;
    std::vector<Operation> operations;
    std::int64_t requiredSlots = 0;
    std::int64_t deadlineMs = 0;
    std::int64_t progressTimeoutMs = 0;
    std::int64_t queueWaitMs = 0;
    std::int64_t maxAttempts = 0;
    std::int64_t retryPercent = 0;
    std::int64_t maxBodyBytes = 0;
    std::int64_t lookupMaxAgeSeconds = 0;
    std::int64_t cancelMs = 0;
    std::int64_t hedgeAfterMs = 0;

    auto operator<=>(const Service &) const = default;
};

/// The servers of one service in one region.
struct Place {
    std::string name;
    std::string service;
    std::string region;
    std::vector<std::string> zones;
    std::int64_t servers = 0;
    std::int64_t slotsPerServer = 0;
    std::int64_t queuePerServer = 0;
    std::int64_t connectionsPerServer = 0;
    std::int64_t localSharePercent = 0;
    std::int64_t coldStartSeconds = 0;

    auto operator<=>(const Place &) const = default;
};

/// Moves a capped part of a service's traffic from one place to another.
/// Exactly one of the two caps is positive.
struct Shift {
    std::string name;
    std::string service;
    std::string from;
    std::string to;
    std::int64_t capPermille = 0;
    std::int64_t capRequestsPerSecond = 0;
    std::int64_t rampSeconds = 0;
    WallMs start = 0;
    WallMs end = noEnd;
    bool countSpill = true;

    auto operator<=>(const Shift &) const = default;
};

/// A period in which a place, one of its zones or one of its servers gets no new requests.
struct PlannedStop {
    std::string name;
    std::string place;
    std::string zone;
    std::string server;
    WallMs start = 0;
    WallMs end = noEnd;

    auto operator<=>(const PlannedStop &) const = default;
};

/// A group of availability zones that client blocks are steered to.
struct Site {
    std::string name;
    std::string region;
    std::vector<std::string> zones;

    auto operator<=>(const Site &) const = default;
};

/// The shared network path between two regions, with the same capacity in each direction.
struct Link {
    std::string name;
    std::vector<std::string> regions;
    std::int64_t mbitPerSecond = 0;
    std::int64_t delayMs = 0;
    std::int64_t sharePercent = 0;

    auto operator<=>(const Link &) const = default;
};

/// Number of entry VM slots of one region.
struct FleetRegion {
    std::string region;
    std::int64_t vmSlots = 0;

    auto operator<=>(const FleetRegion &) const = default;
};

/// The entry VMs among which the capacity of servers is divided.
struct Fleet {
    std::string name;
    std::vector<FleetRegion> regions;

    auto operator<=>(const Fleet &) const = default;
};

/// An IPv4 prefix of clients and the site that it is steered to.
struct ClientBlock {
    std::uint32_t address = 0;
    std::uint8_t prefixLength = 0;
    std::string site;

    auto operator<=>(const ClientBlock &) const = default;
};

/// All declared objects of one configuration, each kind ordered by name.
struct ObjectSet {
    std::vector<Service> services;
    std::vector<Place> places;
    std::vector<Shift> shifts;
    std::vector<PlannedStop> plannedStops;
    std::vector<Site> sites;
    std::vector<Link> links;
    std::vector<Fleet> fleets;
    std::vector<ClientBlock> clientBlocks;

    bool operator==(const ObjectSet &) const = default;
};

/// Reads objects that passed checkSchema(). Does not read client blocks.
[[nodiscard]] ObjectSet objectsFromJson(const nlohmann::json &objects);
/// Writes the array of objects that objectsFromJson() reads. Does not write client blocks.
[[nodiscard]] nlohmann::json objectsToJson(const ObjectSet &objects);

/// Parses "a.b.c.d/n"; false when malformed or when host bits are set.
[[nodiscard]] bool parsePrefix(const std::string &text, std::uint32_t &address, std::uint8_t &length);
/// Parses "a.b.c.d"; false when malformed.
[[nodiscard]] bool parseIpv4(const std::string &text, std::uint32_t &address);
[[nodiscard]] std::string prefixToString(std::uint32_t address, std::uint8_t length);

/// True when @p method on @p path may run more than once: as the service declares, otherwise as the method is defined
/// (RFC 9110 section 9.2.2). An unknown method is not idempotent.
[[nodiscard]] bool isIdempotent(const Service &service, const std::string &method, const std::string &path);

/// True when @p path equals @p prefix or lies below it.
[[nodiscard]] bool pathMatches(const std::string &path, const std::string &prefix);

} // namespace Wasabistair::Steering
