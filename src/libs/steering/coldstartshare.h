#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Wasabistair::Steering {

/// Fleet-wide limit on requests to one cold upstream.
struct ColdStartLimit {
    /// Requests per second that the upstream can serve while it is cold.
    double requestsPerSecond = 0;
    /// Tolerated multiple of that rate.
    double factor = 1;
    /// Requests tolerated beyond that in any second.
    double slack = 0;

    auto operator<=>(const ColdStartLimit &) const = default;
};

/// This VM's share of a ColdStartLimit.
struct ColdStartShare {
    /// Whether this VM may send to the upstream at all.
    bool eligible = false;
    /// Least time between two requests, in ms.
    std::int64_t intervalMs = 0;

    auto operator<=>(const ColdStartShare &) const = default;
};

/// Name hashes of all registered VMs. Rendezvous hashing derives from them an order of the VMs for each upstream.
struct VmHashes {
    std::uint64_t self = 0;
    std::vector<std::uint64_t> others;

    bool operator==(const VmHashes &) const = default;
};

/// @p vms holds the names of all registered VMs and may include @p self.
[[nodiscard]] VmHashes vmHashes(const std::string &self, const std::set<std::string> &vms);

/// This VM's rank, from 0, in the order of VMs for the upstream with @p idHash. VMs with the same set of registered VMs compute the same
/// order. The cost is linear in the number of VMs, so it is called only for cold upstreams.
[[nodiscard]] int rendezvousRank(const VmHashes &order, std::uint64_t idHash);

/// This VM's share of @p bound, such that all eligible VMs together stay below it in every second.
///
/// In any second a VM sends at most 1 + 1000 / intervalMs requests. With m eligible VMs and an interval of 1000 m / r the
/// sum is m + r, so m is limited by the slack and r by the rate. @p fleetSize counts all registered VMs, alive or not, since a VM
/// suspected dead may still send. @p rank is this VM's rank for the upstream, from rendezvousRank().
[[nodiscard]] ColdStartShare coldStartShare(const ColdStartLimit &bound, int fleetSize, int rank);

} // namespace Wasabistair::Steering
