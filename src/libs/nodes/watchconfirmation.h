#pragma once

#include <cstdint>
#include <limits>
#include <mutex>

namespace Wasabistair::Nodes {

/// For watches that need no confirmation.
constexpr std::int64_t neverConfirmed = std::numeric_limits<std::int64_t>::max();

/// Decides whether a watch that waits can have been dropped by the store, from probes: short calls made while it waits.
///
/// A store that is silent drops the calls that reach it and answers the watches that it received before, so a dropped watch looks like
/// one without events. A probe that began after the watch and was answered shows that the store has received the watch. One that was not
/// answered makes the watch suspect; it must be sent again once the store answers. Thread-safe.
class WatchConfirmation
{
public:
    /// @p afterMs: age at which a watch is confirmed. Watches that are answered sooner cost no probe, but a silence that drops a watch and
    /// ends before that age goes unnoticed.
    explicit WatchConfirmation(std::int64_t afterMs);

    void watchBegins(std::int64_t nowMs);
    void watchEnds();
    /// Whether a probe should be made.
    [[nodiscard]] bool needsProbe(std::int64_t nowMs) const;
    /// A probe that began at @p begunMs was answered, or failed. Returns whether the watch must be sent again.
    [[nodiscard]] bool applyProbe(std::int64_t begunMs, bool answered);

private:
    const std::int64_t afterMs_;
    mutable std::mutex mutex_;
    bool waiting_ = false;
    bool confirmed_ = false;
    bool suspect_ = false;
    std::int64_t beganMs_ = 0;
};

} // namespace Wasabistair::Nodes
