#pragma once

#include <cstdint>
#include <mutex>

namespace Wasabistair::Steering {

/// Spares a store that is away: of all that would call it, one at a time tries whether it is back. Thread-safe.
///
/// Every call is priced, refused ones too. Failures in a row count, whoever met them; one success ends them.
class OutageGate
{
public:
    /// Failures in a row from which the store counts as away; fewer are those of single connections.
    static constexpr int failuresOfOutage = 4;
    static constexpr std::int64_t firstBackoffMs = 100;
    /// Bounds how late the store's return is noticed; the price of an outage falls as it grows.
    static constexpr std::int64_t longestBackoffMs = 750;
    /// A try that has not ended by then no longer keeps others from trying.
    static constexpr std::int64_t longestTryMs = 3'000;
    /// How long after the store was last known to be away its lapsed entries may come back. Those of living upstreams are back
    /// within about 2 s of its return; what left must get nothing from 3 s after the return on.
    static constexpr std::int64_t returnGraceMs = 2'400;

    /// Whether the caller may make a call that is answered at once. During an outage a yes makes it the one that tries.
    [[nodiscard]] bool mayCall(std::int64_t nowMs);
    /// Whether the caller may make a call that waits for news. Not during an outage: its silence doesn't tell whether the store is
    /// back, and would keep others from trying.
    [[nodiscard]] bool mayWait() const;
    /// A call that began at @p beganMs got no answer, or was turned away. @p point, evenly from 0 to 1, spreads the tries of many VMs.
    void failed(std::int64_t beganMs, std::int64_t nowMs, double point);
    void succeeded();
    /// A call was given up and says nothing about the store; another may be made at once.
    void abandoned();
    /// When entries count as gone that lapsed during the last outage and have not come back. It counts from the last failed call,
    /// not from the first success: the return is noticed late, by up to longestBackoffMs.
    [[nodiscard]] std::int64_t lapsedGoneAtMs() const;

private:
    mutable std::mutex mutex_;
    int failures_ = 0;
    std::int64_t backoffMs_ = 0;
    std::int64_t nextTryAtMs_ = 0;
    std::int64_t lastAwayMs_ = 0;
};

} // namespace Wasabistair::Steering
