#include "delayedreleases.h"

namespace Wasabistair::App {

void DelayedReleases::add(const Callers::ServerReservation &route, Base::MonotonicMs due)
{
    const std::lock_guard lock(mutex_);
    reservations_.emplace(due, route);
    earliest_.store(reservations_.begin()->first, std::memory_order_relaxed);
}

std::vector<Callers::ServerReservation> DelayedReleases::takeDue(Base::MonotonicMs now)
{
    if (now < earliest_.load(std::memory_order_relaxed)) {
        return {};
    }
    std::vector<Callers::ServerReservation> due;
    const std::lock_guard lock(mutex_);
    const auto end = reservations_.upper_bound(now);
    for (auto it = reservations_.begin(); it != end; ++it) {
        due.push_back(it->second);
    }
    reservations_.erase(reservations_.begin(), end);
    earliest_.store(reservations_.empty() ? INT64_MAX : reservations_.begin()->first, std::memory_order_relaxed);
    return due;
}

} // namespace Wasabistair::App
