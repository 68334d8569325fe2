#pragma once

#include <compare>
#include <cstdint>

namespace Wasabistair::Steering {

/// Times of a planned stop of a VM, in ms of the monotonic clock.
struct StopPlan {
    /// Until then every request is taken.
    std::int64_t takeAllUntilMs = 0;
    /// Until then callers may still use this VM by a look-up from before the stop.
    std::int64_t lookupsExpireAtMs = 0;
    /// From then on no request is taken.
    std::int64_t rejectFromMs = 0;
    /// By then every request must have ended.
    std::int64_t deadlineMs = 0;
    /// Last answers may be written until then.
    std::int64_t exitAtMs = 0;

    auto operator<=>(const StopPlan &) const = default;
};

/// Plans a stop that was requested at @p requestedAtMs. The platform ends the process @p graceMs later; callers get look-up answers with an age of
/// @p lookupAgeMs.
[[nodiscard]] StopPlan planStop(std::int64_t requestedAtMs, std::int64_t graceMs, std::int64_t lookupAgeMs);

/// Whether a VM with @p activeRequests may take its last request. Later ones must be rejected, since a process that has been seen idle may
/// exit at any time.
[[nodiscard]] bool mayEndIntake(const StopPlan &plan, int activeRequests, std::int64_t nowMs);

/// Whether the process may exit after the end of its intake: all answers are written, or there is no time left for them.
[[nodiscard]] bool mayExit(const StopPlan &plan, int activeRequests, std::int64_t nowMs);

/// Whether a request that may take until @p latestEndMs must be rejected while the intake is open.
[[nodiscard]] bool isTooLate(const StopPlan &plan, std::int64_t latestEndMs, std::int64_t nowMs);

} // namespace Wasabistair::Steering
