#pragma once

#include "objects.h"

#include <atomic>
#include <cstdint>

namespace Wasabistair::Steering {

/// What this VM itself observes of one server. All members are atomics; the request path takes no lock.
class ServerLoad
{
public:
    /// Occupies one unit if fewer than @p limit are occupied.
    bool tryAcquire(std::int64_t limit);
    void release();
    [[nodiscard]] std::int64_t inFlight() const;

    /// The server refused a request for want of capacity: use fewer units and pause for @p pauseMs.
    void observeShed(MonotonicMs now, MonotonicMs pauseMs);
    /// No connection, or a silent one: no work before now + @p pauseMs.
    void observeFailure(MonotonicMs now, MonotonicMs pauseMs);
    /// The server itself says that it is leaving; stands until now + @p forMs.
    void observeLeaving(MonotonicMs now, MonotonicMs forMs);
    /// A probe said that it is no longer leaving.
    void clearLeaving();
    void observeAnswer(MonotonicMs now);

    [[nodiscard]] bool isBlocked(MonotonicMs now) const;
    [[nodiscard]] bool isLeaving(MonotonicMs now) const;
    [[nodiscard]] MonotonicMs lastAnswer() const;
    /// Part of the units in use, in 1/1000: cut by each shed, restored over time.
    [[nodiscard]] std::int64_t scalePermille(MonotonicMs now) const;

    static constexpr std::int64_t fullScale = 1000;
    static constexpr std::int64_t minScale = 100;
    /// A shed multiplies the scale by this, in 1/1000.
    static constexpr std::int64_t shedFactor = 700;
    /// Regained per second, in 1/1000 of full scale.
    static constexpr std::int64_t recoveryPerSecond = 50;

private:
    std::atomic<std::int64_t> inFlight_{0};
    std::atomic<std::int64_t> scale_{fullScale};
    std::atomic<MonotonicMs> scaleTime_{0};
    std::atomic<MonotonicMs> blockedUntil_{0};
    std::atomic<MonotonicMs> leavingUntil_{0};
    std::atomic<MonotonicMs> lastAnswer_{0};
};

/// Part of @p units usable @p ageMs after the server started; from a quarter up to all over @p coldStartMs.
[[nodiscard]] std::int64_t coldStartUnits(std::int64_t units, WallMs ageMs, WallMs coldStartMs);

} // namespace Wasabistair::Steering
