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

/// Service that a request belongs to, with the retry budget of that service.
struct ServiceMatch {
    std::shared_ptr<const Steering::Service> service;
    std::shared_ptr<Steering::RetryBudget> retryBudget;
};

/// Reservation of one capacity unit of one server; entitles its holder to send one request there.
struct ServerReservation {
    Steering::Vm server;
    std::string place;
    std::shared_ptr<Steering::ServerLoad> load;
    std::int64_t connections = 1;
    std::shared_ptr<Steering::LinkPacer> uploadLink;
    std::shared_ptr<Steering::LinkPacer> answerLink;
    Steering::MonotonicMs decidedAt = 0;
};

/// Outcome of one forwarded request, as counted in the monthly review.
enum class RequestOutcome {
    Answered,
    Refused,
    Failed,
};

/// Routing decisions for the forwarder, made from the routing table in force.
class Router
{
public:
    virtual ~Router() = default;

    [[nodiscard]] virtual std::optional<ServiceMatch> match(const std::string &host, const std::string &path) const = 0;
    /// Reserves a unit of a server, waiting up to @p waitMs for free capacity. Release it with release() or releaseAfter().
    [[nodiscard]] virtual std::variant<ServerReservation, Steering::RoutingFailure> acquire(
        const std::string &service, const std::vector<std::string> &excludedServers, Steering::MonotonicMs waitMs)
        = 0;
    /// Whether @p route is still valid (VM slot held, server not stopped). Call it immediately before sending.
    [[nodiscard]] virtual bool mayStillSend(const ServerReservation &route) const = 0;
    virtual void release(const ServerReservation &route) = 0;
    /// As release(), but after @p holdMs. For a cancelled request that the server may still be executing.
    virtual void releaseAfter(const ServerReservation &route, Steering::MonotonicMs holdMs) = 0;
    /// Largest number of requests of a service whose bodies may be streamed at once. Such a request occupies its unit
    /// for as long as its caller sends, so the limit leaves units for other requests.
    [[nodiscard]] virtual std::int64_t maxStreams(const std::string &service) const = 0;
    /// Records the outcome and latency of a request. @p latencyUs: from the first byte of the request to the last of the answer.
    virtual void record(const std::string &service, const std::string &place, RequestOutcome outcome, std::int64_t latencyUs) = 0;
    [[nodiscard]] virtual bool isDraining() const = 0;
    [[nodiscard]] virtual bool isReady() const = 0;
};

} // namespace Wasabistair::Callers
