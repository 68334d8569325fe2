#pragma once

#include "teamdirectory.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wasabistair::Steering {

/// One service of a route and its share of the route's requests.
struct ServiceWeight {
    std::string service;
    /// Positive; relative to the sum of the weights of the route's services.
    double weight = 1;

    auto operator<=>(const ServiceWeight &) const = default;
};

/// How requests of one host and path prefix are handled.
struct RouteRule {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    /// Whether a request may be executed more than once.
    bool idempotent = false;
    /// Timeout until the final answer, in ms; 0: none.
    std::int64_t timeoutMs = 0;
    /// Latency objective, in ms; 0: none.
    std::int64_t objectiveMs = 0;
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<ServiceWeight> services;
    /// Largest number of attempts per request, each at another upstream.
    int maxAttempts = 1;
    /// Whether requests with the same affinity key should go to the same upstream, where they run faster.
    bool sticky = false;
    /// Regions whose upstreams may serve the route; empty: all regions.
    std::vector<std::string> homeRegions;
    /// Whether callers need no key.
    bool anonymous = false;

    bool operator==(const RouteRule &) const = default;
};

struct ServiceRule {
    /// Connections that one upstream accepts from all VMs together; 0: unknown.
    std::int64_t maxConnections = 0;
    std::int64_t coldStartMs = 0;
    /// Requests per second that a cold upstream can serve; 0: not limited.
    double coldRequestsPerSecond = 0;

    auto operator<=>(const ServiceRule &) const = default;
};

/// Limits on the size of a caller's request and on its timing.
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
    /// Ordered by host, then by descending length of the path prefix (see sortRoutes()).
    std::vector<RouteRule> routes;
    std::map<std::string, ServiceRule> services;
    CallerLimits limits;
    TeamDirectory teams;

    bool operator==(const Manifest &) const = default;
};

/// Sorts @p routes into the order that findRoute() requires.
void sortRoutes(std::vector<RouteRule> &routes);

/// The route of @p host with the longest path prefix that matches @p path; null when there is none.
[[nodiscard]] const RouteRule *findRoute(const Manifest &manifest, std::string_view host, std::string_view path);

/// Selects a service of the route. With @p point uniform in [0, 1), each service is selected in proportion to its weight.
[[nodiscard]] const std::string &selectService(const RouteRule &route, double point);

/// The rules that apply to one request: those of its route and, unless the route is anonymous, of the caller's team.
struct RequestRules {
    const RouteRule *route = nullptr;
    /// Null when no team applies.
    const TeamRule *team = nullptr;

    auto operator<=>(const RequestRules &) const = default;
};

[[nodiscard]] int priorityOf(const RequestRules &rules);

/// Whether upstreams in @p region may serve the request; it must be a home of the route and of the team.
[[nodiscard]] bool isHomeRegion(const RequestRules &rules, std::string_view region);

} // namespace Wasabistair::Steering
