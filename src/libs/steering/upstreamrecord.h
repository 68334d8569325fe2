#pragma once

#include "rategate.h"
#include "upstreamhealth.h"

#include <atomic>
#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>

namespace Wasabistair::Steering {

/// Load that an upstream reported with an answer.
struct ReportedLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;

    auto operator<=>(const ReportedLoad &) const = default;
};

/// What this VM observes of one incarnation of an upstream. Thread-safe; read by every choice.
class UpstreamRecord
{
public:
    /// Counts a request that is being sent. Every call is paired with one of endTry().
    void beginTry();
    struct StandingChange {
        Standing before = Standing::Sound;
        Standing after = Standing::Sound;

        auto operator<=>(const StandingChange &) const = default;
    };
    /// @p load is what the answer reported. Returns the standing before and after, so that a change can be logged.
    StandingChange endTry(TryOutcome outcome, const std::optional<ReportedLoad> &load, double serviceSilentShare, std::int64_t nowMs);

    [[nodiscard]] int inFlight() const;
    /// Own requests in flight, and those of others as last reported; as the report ages, @p expectedOthers takes its place.
    [[nodiscard]] double loadAt(std::int64_t nowMs, double expectedOthers) const;
    [[nodiscard]] Standing standingAt(double serviceSilentShare, std::int64_t nowMs) const;
    /// Whether its standing is Suspended; cheaper than standingAt.
    [[nodiscard]] bool isSuspendedAt(std::int64_t nowMs) const;
    [[nodiscard]] UpstreamHealth health() const;

    /// Until then the upstream counts as cold. Never moves back.
    void setColdUntil(std::int64_t untilMs);
    [[nodiscard]] bool isColdAt(std::int64_t nowMs) const;
    RateGate &coldGate();
    RateGate &probationGate();

private:
    void noteLoad(TryOutcome outcome, const std::optional<ReportedLoad> &load, std::int64_t nowMs);

    std::atomic<int> inFlight_{0};
    std::atomic<int> othersLoad_{0};
    std::atomic<std::int64_t> reportedAtMs_{0};
    std::atomic<std::int64_t> coldUntilMs_{0};
    /// As in health_.
    std::atomic<std::int64_t> suspendedUntilMs_{0};
    RateGate coldGate_;
    RateGate probationGate_;
    mutable std::mutex mutex_;
    UpstreamHealth health_;
};

} // namespace Wasabistair::Steering
