#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Wasabistair::Steering {

/// One of the services that share a route's requests.
struct ServiceWeight {
    std::string service;
    /// Relative to the sum over the route's services; positive.
    double weight = 1;

    auto operator<=>(const ServiceWeight &) const = default;
};

/// How requests of one host and path prefix are handled.
struct RouteRule {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    /// Whether a request may run more than once.
    bool idempotent = false;
    /// Longest time until the final answer, in ms; 0: none.
    std::int64_t timeoutMs = 0;
    /// Latency objective, in ms; 0: none.
    std::int64_t objectiveMs = 0;
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<ServiceWeight> services;
    /// Upstreams to which one request may be sent.
    int maxAttempts = 1;
    /// Requests with the same affinity key run faster on the same upstream.
    bool sticky = false;
    /// Regions whose upstreams may serve it; empty: all.
    std::vector<std::string> homeRegions;

    bool operator==(const RouteRule &) const = default;
};

struct ServiceRule {
    /// Connections that one upstream accepts from all callers together; 0: unknown.
    std::int64_t maxConnections = 0;
    std::int64_t coldStartMs = 0;
    /// Requests a second that a cold upstream bears; 0: not limited.
    double coldRequestsPerSecond = 0;

    auto operator<=>(const ServiceRule &) const = default;
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
    std::int64_t maxHeaderBytes = 16 << 10;
    std::int64_t maxBodyBytes = 64 << 20;
    std::int64_t headerTimeoutMs = 3'000;
    std::int64_t idleTimeoutMs = 15'000;

    auto operator<=>(const CallerLimits &) const = default;
};

/// One accepted version of the configuration that operators publish.
struct Manifest {
    std::uint64_t version = 0;
    /// Ordered by host, then by descending length of the prefix (see sortRoutes).
    std::vector<RouteRule> routes;
    std::map<std::string, ServiceRule> services;
    CallerLimits limits;

    bool operator==(const Manifest &) const = default;
};

/// Puts @p routes into the order that findRoute() expects.
void sortRoutes(std::vector<RouteRule> &routes);

/// The route of @p host with the longest prefix of @p path; null when there is none.
[[nodiscard]] const RouteRule *findRoute(const Manifest &manifest, std::string_view host, std::string_view path);

/// Service for a request: each in the proportion of its weight. @p point lies in [0, 1).
[[nodiscard]] const std::string &serviceAt(const RouteRule &route, double point);

/// Whether upstreams in @p region may serve requests of @p route.
[[nodiscard]] bool isHome(const RouteRule &route, std::string_view region);

} // namespace Wasabistair::Steering
