#pragma once

#include "callerrequest.h"
#include "passmetrics.h"

#include <base/logbudget.h>
#include <base/rcu.h>
#include <steering/upstreamselector.h>
#include <upstreams/upstreamcall.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Wasabistair::Callers {

/// What all requests of a process share.
struct PassContext {
    const Base::Clock &clock;
    const Base::RcuPointer<Steering::Roster> &roster;
    Upstreams::ChannelPool &channels;
    Steering::RegionFlow &flow;
    const Steering::SelectorBounds selectorBounds;
    const Steering::RetryBound retryBound;
    PassMetrics &metrics;
    /// When requests must have ended because the process stops; 0 while it doesn't.
    const std::atomic<Base::MonotonicMs> &stopDeadline;
    /// Counts requests; spreads those of a split route and those without a key.
    std::atomic<std::uint64_t> &sequence;
    /// For requests and answers that are held.
    Base::MemoryBudget &memory;
    Base::LogBudget &failureLog;
    Base::LogBudget &sampleLog;
};

/// What goes back to the caller.
struct PassResult {
    PassEnd end = PassEnd::CallerGone;
    /// Set when end is Answered.
    Upstreams::UpstreamAnswer answer;
    /// Status of a refusal.
    int status = 0;
    /// Time after which the caller may come back, in ms; 0: not told.
    std::int64_t retryAfterMs = 0;

    bool operator==(const PassResult &) const = default;
};

/// Passes one request to upstreams until it has an answer, or may not be sent again.
class RequestPass
{
public:
    RequestPass(PassContext &context, const CallerRequest &request, const Http::ByteStream &caller);

    [[nodiscard]] PassResult run();

private:
    [[nodiscard]] PassResult passTo(const Steering::RouteRule &route);
    [[nodiscard]] std::optional<PassResult> tryOnce(const Steering::RouteRule &route, const Steering::ServiceRoster &service);
    [[nodiscard]] Steering::TryOutcome send(
        const Steering::RosterUpstream &upstream, const Steering::RouteRule &route, Steering::ServiceRecord &service, Upstreams::CallResult &result);
    void noteTry(const Steering::RosterUpstream &upstream, Steering::TryOutcome outcome, std::int64_t tookMs);
    void noteStanding(const Steering::RosterUpstream &upstream, const Steering::UpstreamRecord::StandingChange &change, Steering::TryOutcome outcome) const;
    [[nodiscard]] std::optional<PassResult> afterTry(
        const Steering::RouteRule &route, const Steering::ServiceRoster &service, Steering::TryOutcome outcome, Upstreams::CallResult &result);
    [[nodiscard]] bool mayRepeat(const Steering::RouteRule &route, const Steering::ServiceRoster &service, bool arrived);
    [[nodiscard]] PassResult giveUp(PassEnd end) const;
    [[nodiscard]] PassResult atDeadline() const;
    [[nodiscard]] bool waitForRoom(const Steering::RouteRule &route);
    void logEnd(const PassResult &result) const;

    PassContext &context_;
    const CallerRequest &request_;
    const Http::ByteStream &caller_;
    std::shared_ptr<const Steering::Roster> roster_;
    Base::MonotonicMs deadline_ = 0;
    std::uint64_t keyHash_ = 0;
    std::uint64_t number_ = 0;
    std::vector<std::uint64_t> tried_;
    /// Tries at which the upstream got the request.
    int arrivals_ = 0;
    /// Choices made; bounds the loop when no upstream can be reached.
    int choices_ = 0;
    /// Whether an upstream may have run it.
    bool mayHaveRun_ = false;
    std::int64_t waitedMs_ = 0;
    // For the log.
    std::string routeName_;
    std::string service_;
    std::string lastUpstream_;
    std::string_view lastOutcome_ = "none";
    /// Each try in order, "upstream:outcome:milliseconds", separated by commas.
    std::string trail_;
    double lastLoad_ = 0;
};

} // namespace Wasabistair::Callers
