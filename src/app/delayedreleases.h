#pragma once

#include <base/clock.h>
#include <callers/router.h>

#include <atomic>
#include <map>
#include <mutex>
#include <vector>

namespace Wasabistair::App {

/// Units whose request was given up: the server may need a while to end it, so the unit stays occupied
/// until then. Safe for calls from several threads; holds no lock for longer than one insertion.
class DelayedReleases
{
public:
    void add(const Callers::Route &route, Base::MonotonicMs due);
    /// Takes out all routes that are due at @p now.
    [[nodiscard]] std::vector<Callers::Route> takeDue(Base::MonotonicMs now);

private:
    std::mutex mutex_;
    std::multimap<Base::MonotonicMs, Callers::Route> routes_;
    /// Lets takeDue() return without the lock while nothing is due.
    std::atomic<Base::MonotonicMs> earliest_{INT64_MAX};
};

} // namespace Wasabistair::App
