#include "coldstartshare.h"

#include "hash.h"

#include <algorithm>
#include <cmath>

namespace Wasabistair::Steering {

namespace {

// Part of the limit that is used: with different delays, requests sent in two adjacent seconds can arrive within one.
constexpr double usedFraction = 0.8;
constexpr double msPerSecond = 1000;
// Below this rate a VM observes the upstream too rarely to justify a connection.
constexpr double minRequestsPerSecond = 0.5;

} // namespace

VmHashes vmHashes(const std::string &self, const std::set<std::string> &vms)
{
    VmHashes order{hashOf(self), {}};
    order.others.reserve(vms.size());
    for (const std::string &vm : vms) {
        if (vm != self) {
            order.others.push_back(hashOf(vm));
        }
    }
    return order;
}

int rendezvousRank(const VmHashes &order, std::uint64_t idHash)
{
    const std::uint64_t upstreamHash = mixedHash(idHash);
    const std::uint64_t own = mixedHash(order.self ^ upstreamHash);
    return static_cast<int>(
        std::count_if(order.others.begin(), order.others.end(), [&](std::uint64_t other) { return mixedHash(other ^ upstreamHash) < own; }));
}

ColdStartShare coldStartShare(const ColdStartLimit &bound, int fleetSize, int rank)
{
    const double limit = usedFraction * (bound.requestsPerSecond * bound.factor + bound.slack);
    // One half of the limit is for the first request of each VM, the other for the steady rate.
    const int maxSenders = std::max(1, static_cast<int>(std::floor(limit / 2)));
    const int senders = std::clamp(fleetSize, 1, maxSenders);
    if (rank >= senders) {
        return {false, 0};
    }
    const double rate = std::max(minRequestsPerSecond, std::min(bound.requestsPerSecond, limit - senders) / senders);
    return {true, static_cast<std::int64_t>(std::ceil(msPerSecond / rate))};
}

} // namespace Wasabistair::Steering
