#pragma once

#include <steering/decision.h>
#include <steering/objects.h>
#include <steering/vm.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Wasabistair::Callers {

/// What the request path needs to know of the service that a request belongs to.
struct ServiceMatch {
    std::shared_ptr<const Steering::Service> service;
    std::shared_ptr<Steering::RetryBudget> retryBudget;
};

/// One occupied unit of one server. Holding it is the right to send one request there.
struct Route {
    Steering::Vm server;
    std::string place;
    std::shared_ptr<Steering::ServerLoad> load;
    std::int64_t connections = 1;
    std::shared_ptr<Steering::LinkBudget> uploadLink;
    std::shared_ptr<Steering::LinkBudget> answerLink;
    Steering::MonotonicMs decidedAt = 0;
};

/// Outcome of one forwarded request, for the review figures.
enum class RequestOutcome {
    Answered,
    Refused,
    Failed,
};

/// Decisions that the forwarder asks for; implemented over the routing table in force.
class Router
{
public:
    virtual ~Router() = default;

    [[nodiscard]] virtual std::optional<ServiceMatch> match(const std::string &host, const std::string &path) const = 0;
    /// Occupies a unit, waiting up to @p waitMs for headroom. Release with release().
    [[nodiscard]] virtual std::variant<Route, Steering::Refusal> acquire(
        const std::string &service, const std::vector<std::string> &excludedServers, Steering::MonotonicMs waitMs)
        = 0;
    /// Immediately before sending: true while the decision still stands (slot held, server not stopped).
    [[nodiscard]] virtual bool mayStillSend(const Route &route) const = 0;
    virtual void release(const Route &route) = 0;
    /// As release(), but after @p holdMs: for a request that was given up and may still occupy the server.
    virtual void releaseAfter(const Route &route, Steering::MonotonicMs holdMs) = 0;
    /// Largest number of requests of a service whose bodies may be streamed at once. Such a request
    /// holds its unit for as long as its caller sends, so others must keep some.
    [[nodiscard]] virtual std::int64_t maxStreams(const std::string &service) const = 0;
    /// Records latency of a request in microseconds, from its first byte to its last answer byte.
    virtual void record(const std::string &service, const std::string &place, RequestOutcome outcome, std::int64_t latencyUs) = 0;
    [[nodiscard]] virtual bool isDraining() const = 0;
    [[nodiscard]] virtual bool isReady() const = 0;
};

} // namespace Wasabistair::Callers
