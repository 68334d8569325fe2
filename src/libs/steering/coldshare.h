#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Wasabistair::Steering {

/// Bound on requests to one cold upstream, summed over all VMs.
struct ColdBound {
    /// Requests a second that the upstream bears.
    double requestsPerSecond = 0;
    /// Tolerated multiple of that rate.
    double factor = 1;
    /// Requests tolerated beyond it in any second.
    double slack = 0;

    auto operator<=>(const ColdBound &) const = default;
};

/// This VM's part of a ColdBound.
struct ColdShare {
    /// Whether this VM may send to the upstream at all.
    bool eligible = false;
    /// Time between two requests, in ms.
    std::int64_t intervalMs = 0;

    auto operator<=>(const ColdShare &) const = default;
};

/// Hashes of all registered VMs, from which each upstream draws an order of its own.
struct VmOrder {
    std::uint64_t self = 0;
    std::vector<std::uint64_t> others;

    bool operator==(const VmOrder &) const = default;
};

/// @p vms names all registered VMs; @p self may be among them.
[[nodiscard]] VmOrder vmOrder(const std::string &self, const std::set<std::string> &vms);

/// This VM's place in the order of the upstream with @p idHash; all VMs that know the same VMs agree on it. Linear in the VMs, so
/// asked for only when an upstream is cold.
[[nodiscard]] int rankIn(const VmOrder &order, std::uint64_t idHash);

/// Divides @p bound so that all eligible VMs together stay below it in every second.
///
/// In any second a VM sends at most 1 + 1000 / intervalMs requests. With m eligible VMs and an interval of 1000 m / r the
/// sum is m + r, so m is limited by the slack and r by the rate. @p fleetSize counts registered VMs, living or not: VMs
/// that are only believed dead still count. @p rank is this VM's place in an order of all VMs that depends on the upstream.
[[nodiscard]] ColdShare coldShare(const ColdBound &bound, int fleetSize, int rank);

} // namespace Wasabistair::Steering
