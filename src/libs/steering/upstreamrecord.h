#pragma once

#include "announcedlimit.h"
#include "leavingnotice.h"
#include "ratelimiter.h"
#include "requestedpause.h"
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
    /// How long work takes on the upstream's machine at this moment, in percent of the usual time; nothing if it doesn't say.
    std::optional<int> pacePercent = {};

    auto operator<=>(const ReportedLoad &) const = default;
};

/// Load and health of one incarnation of an upstream, as this VM observes them. Read for every selection. Thread-safe.
class UpstreamRecord
{
public:
    /// Counts an attempt that is being sent. Every call is paired with one to endAttempt().
    void beginAttempt();
    struct HealthStateChange {
        HealthState before = HealthState::Healthy;
        HealthState after = HealthState::Healthy;

        auto operator<=>(const HealthStateChange &) const = default;
    };
    /// Records the end of an attempt; @p load is what the answer reported. Returns the health state before and after, so that a change can
    /// be logged.
    HealthStateChange endAttempt(AttemptOutcome outcome, const std::optional<ReportedLoad> &load, double serviceTimeoutRate, std::int64_t nowMs);

    [[nodiscard]] int inFlight() const;
    /// Estimated running and waiting requests: this VM's in flight, plus those of other VMs as last reported. As the report ages,
    /// @p expectedOtherVmsLoad gradually replaces it.
    [[nodiscard]] double loadAt(std::int64_t nowMs, double expectedOtherVmsLoad) const;
    /// How long work takes on the upstream's machine now, in percent of the usual time. The usual 100 gradually replaces a report as it ages.
    [[nodiscard]] double pacePercentAt(std::int64_t nowMs) const;
    [[nodiscard]] HealthState healthStateAt(double serviceTimeoutRate, std::int64_t nowMs) const;
    /// Whether the upstream is ejected. Cheaper than healthStateAt() since it takes no lock.
    [[nodiscard]] bool isEjectedAt(std::int64_t nowMs) const;
    [[nodiscard]] UpstreamHealth health() const;

    /// The upstream counts as cold until @p untilMs. A time earlier than the current value is ignored.
    void setColdUntil(std::int64_t untilMs);
    [[nodiscard]] bool isColdAt(std::int64_t nowMs) const;
    RateLimiter &coldStartLimiter();
    RateLimiter &probationLimiter();
    AnnouncedLimit &announcedLimit();
    LeavingNotice &leavingNotice();
    RequestedPause &requestedPause();
    /// Whether anything that the upstream stated in its answers is in force at @p nowMs.
    [[nodiscard]] bool hasStatementAt(std::int64_t nowMs) const;

private:
    void recordLoad(AttemptOutcome outcome, const std::optional<ReportedLoad> &load, std::int64_t nowMs);

    std::atomic<int> inFlight_{0};
    std::atomic<int> otherVmsLoad_{0};
    std::atomic<std::int64_t> reportedAtMs_{0};
    /// Pace in percent and its time; 0 before the upstream first stated it.
    std::atomic<int> pacePercent_{0};
    std::atomic<std::int64_t> paceReportedAtMs_{0};
    /// Slots as last reported.
    std::atomic<int> slots_{0};
    std::atomic<std::int64_t> coldUntilMs_{0};
    /// Copy of the value in health_ that is read without the lock.
    std::atomic<std::int64_t> suspendedUntilMs_{0};
    RateLimiter coldGate_;
    RateLimiter probationGate_;
    AnnouncedLimit announcedLimit_;
    LeavingNotice leavingNotice_;
    RequestedPause requestedPause_;
    mutable std::mutex mutex_;
    UpstreamHealth health_;
};

} // namespace Wasabistair::Steering
