#include "delayedreleases.h"

namespace Wasabistair::App {

void DelayedReleases::add(const Callers::Route &route, Base::MonotonicMs due)
{
    const std::lock_guard lock(mutex_);
    routes_.emplace(due, route);
    earliest_.store(routes_.begin()->first, std::memory_order_relaxed);
}

std::vector<Callers::Route> DelayedReleases::takeDue(Base::MonotonicMs now)
{
    if (now < earliest_.load(std::memory_order_relaxed)) {
        return {};
    }
    std::vector<Callers::Route> due;
    const std::lock_guard lock(mutex_);
    const auto end = routes_.upper_bound(now);
    for (auto it = routes_.begin(); it != end; ++it) {
        due.push_back(it->second);
    }
    routes_.erase(routes_.begin(), end);
    earliest_.store(routes_.empty() ? INT64_MAX : routes_.begin()->first, std::memory_order_relaxed);
    return due;
}

} // namespace Wasabistair::App
