#include "coldshare.h"

#include "hash.h"

#include <algorithm>
#include <cmath>

namespace Wasabistair::Steering {

namespace {

// Part of the bound that is used: requests of two adjacent seconds can arrive in one, after different delays.
constexpr double usedPart = 0.8;
constexpr double msPerSecond = 1000;
// A VM that sends less often than this learns too little to be worth its connection.
constexpr double leastRequestsPerSecond = 0.5;

} // namespace

VmOrder vmOrder(const std::string &self, const std::set<std::string> &vms)
{
    VmOrder order{hashOf(self), {}};
    order.others.reserve(vms.size());
    for (const std::string &vm : vms) {
        if (vm != self) {
            order.others.push_back(hashOf(vm));
        }
    }
    return order;
}

int rankIn(const VmOrder &order, std::uint64_t idHash)
{
    const std::uint64_t spread = mixedHash(idHash);
    const std::uint64_t own = mixedHash(order.self ^ spread);
    return static_cast<int>(std::count_if(order.others.begin(), order.others.end(), [&](std::uint64_t other) { return mixedHash(other ^ spread) < own; }));
}

ColdShare coldShare(const ColdBound &bound, int fleetSize, int rank)
{
    const double limit = usedPart * (bound.requestsPerSecond * bound.factor + bound.slack);
    // Half of the bound for the first request of each VM, half for the steady rate.
    const int most = std::max(1, static_cast<int>(std::floor(limit / 2)));
    const int senders = std::clamp(fleetSize, 1, most);
    if (rank >= senders) {
        return {false, 0};
    }
    const double rate = std::max(leastRequestsPerSecond, std::min(bound.requestsPerSecond, limit - senders) / senders);
    return {true, static_cast<std::int64_t>(std::ceil(msPerSecond / rate))};
}

} // namespace Wasabistair::Steering
