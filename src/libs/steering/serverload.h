#pragma once

#include "objects.h"

#include <atomic>
#include <cstdint>

namespace Wasabistair::Steering {

/// Load and state of one server, as this VM observes them. All members are atomics, so the request path takes no lock.
class ServerLoad
{
public:
    /// Occupies one unit if fewer than @p limit are occupied; returns whether it did.
    bool tryAcquire(std::int64_t limit);
    void release();
    [[nodiscard]] std::int64_t inFlight() const;

    /// Records that the server rejected a request because it is overloaded: reduces the units in use and pauses for @p pauseMs.
    void observeShed(MonotonicMs now, MonotonicMs pauseMs);
    /// Records a failed connection or a timeout: no requests are sent until now + @p pauseMs.
    void observeFailure(MonotonicMs now, MonotonicMs pauseMs);
    /// Records that the server reports that it is draining; valid until now + @p forMs.
    void observeLeaving(MonotonicMs now, MonotonicMs forMs);
    /// Records that a probe found the server no longer draining.
    void clearLeaving();
    void observeAnswer(MonotonicMs now);

    [[nodiscard]] bool isBlocked(MonotonicMs now) const;
    [[nodiscard]] bool isLeaving(MonotonicMs now) const;
    [[nodiscard]] MonotonicMs lastAnswer() const;
    /// Part of the units in use, in 1/1000. Every rejection reduces it, and it recovers over time.
    [[nodiscard]] std::int64_t scalePermille(MonotonicMs now) const;

    static constexpr std::int64_t fullScale = 1000;
    static constexpr std::int64_t minScale = 100;
    /// Factor applied to the scale by each rejection, in 1/1000.
    static constexpr std::int64_t shedFactor = 700;
    /// Recovery of the scale per second, in 1/1000 of full scale.
    static constexpr std::int64_t recoveryPerSecond = 50;

private:
    std::atomic<std::int64_t> inFlight_{0};
    std::atomic<std::int64_t> scale_{fullScale};
    std::atomic<MonotonicMs> scaleSetAt_{0};
    std::atomic<MonotonicMs> blockedUntil_{0};
    std::atomic<MonotonicMs> leavingUntil_{0};
    std::atomic<MonotonicMs> lastAnswerAt_{0};
};

/// Number of @p units that are usable @p ageMs after the server started. It rises from a quarter to all of them over @p coldStartMs.
[[nodiscard]] std::int64_t coldStartUnits(std::int64_t units, WallMs ageMs, WallMs coldStartMs);

} // namespace Wasabistair::Steering
