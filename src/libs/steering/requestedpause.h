#pragma once

#include <atomic>
#include <cstdint>

namespace Wasabistair::Steering {

/// Longest pause that an answer can cause, in ms. A longer one is a mistake of the upstream more likely than its wish, and asking once in
/// this time stays within its contract.
constexpr std::int64_t maxRequestedPauseMs = 300'000;
/// The VMs return to an upstream one after the other within this part of the pause that it asked for, but at most maxReturnSpreadMs.
constexpr double returnSpreadFactor = 0.25;
constexpr std::int64_t maxReturnSpreadMs = 2'000;

/// How long after the end of a pause this VM returns, in ms. @p rank is the VM's rank for the upstream among @p fleetSize registered VMs,
/// from rendezvousRank().
[[nodiscard]] std::int64_t returnDelayMs(std::int64_t pauseMs, int fleetSize, int rank);

/// Time in which one incarnation of an upstream wants no requests from this VM, as a rejection asked for it. Thread-safe; takes no lock.
class RequestedPause
{
public:
    /// Records a rejection that arrived at @p nowMs and asks for @p pauseMs. Of several pauses the one that ends last holds. Returns whether
    /// none was in force before.
    bool record(std::int64_t pauseMs, std::int64_t returnDelay, std::int64_t nowMs);
    /// Time until this VM may send again, in ms; 0 if it may now.
    [[nodiscard]] std::int64_t remainingMs(std::int64_t nowMs) const;
    [[nodiscard]] bool isInForceAt(std::int64_t nowMs) const;

private:
    std::atomic<std::int64_t> untilMs_{0};
};

} // namespace Wasabistair::Steering
