#pragma once

#include <cstdint>
#include <mutex>

namespace Wasabistair::Nodes {

/// Number of a watch; a process never uses one twice for the same kind of objects. 0 stands for no watch.
using WatchNumber = std::uint64_t;

/// Decides whether a watch that waits can have been dropped by the store, from probes: short calls made while it waits.
///
/// A store that is silent drops the calls that reach it and answers the watches that it received before, so a dropped watch looks like
/// one without events. A probe that was sent after the watch and was answered shows that the store has received the watch. One that was
/// not answered makes the watch suspect; it must be sent again once the store answers. Each watch needs its probe at once: a silence that
/// ends before the probe goes unnoticed. Thread-safe.
class WatchConfirmation
{
public:
    /// @p enabled: whether the watches are confirmed at all.
    explicit WatchConfirmation(bool enabled);

    /// A watch was sent and waits for its answer.
    void watchSent();
    void watchEnds();
    /// The watch that waits and needs a probe; 0 when there is none.
    [[nodiscard]] WatchNumber unconfirmedWatch() const;
    /// A probe that began while @p watch was waiting was answered, or failed. Returns whether the watch must be sent again.
    [[nodiscard]] bool applyProbe(WatchNumber watch, bool answered);

private:
    const bool enabled_;
    mutable std::mutex mutex_;
    bool waiting_ = false;
    bool confirmed_ = false;
    bool suspect_ = false;
    WatchNumber watch_ = 0;
};

} // namespace Wasabistair::Nodes
