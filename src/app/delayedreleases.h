#pragma once

#include <base/clock.h>
#include <callers/router.h>

#include <atomic>
#include <map>
#include <mutex>
#include <vector>

namespace Wasabistair::App {

/// Units of abandoned requests that are released later: the server may still be executing such a request, so its unit
/// stays occupied for a while. Thread-safe; add() holds the lock only for one insertion.
class DelayedReleases
{
public:
    void add(const Callers::ServerReservation &route, Base::MonotonicMs due);
    /// Removes and returns the units that are due at @p now.
    [[nodiscard]] std::vector<Callers::ServerReservation> takeDue(Base::MonotonicMs now);

private:
    std::mutex mutex_;
    std::multimap<Base::MonotonicMs, Callers::ServerReservation> reservations_;
    /// Earliest due time; lets takeDue() return without locking while nothing is due.
    std::atomic<Base::MonotonicMs> earliest_{INT64_MAX};
};

} // namespace Wasabistair::App
