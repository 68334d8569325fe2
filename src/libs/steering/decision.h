#pragma once

#include "routingtable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Wasabistair::Steering {

/// Why decide() found no server.
enum class RoutingFailure {
    /// No place of the service is reachable from DecisionInput::region.
    NoPlace,
    /// This VM holds no VM slot and therefore has no share of any capacity.
    NoSlot,
    /// No server has a free unit for this VM: all are occupied, stopped or held back.
    NoHeadroom,
};

/// Inputs of decide().
struct DecisionInput {
    std::uint16_t service = 0;
    std::string_view region;
    MonotonicMs now = 0;
    WallMs wall = 0;
    std::uint64_t random = 0;
    /// Ids of servers used by earlier attempts of the same request.
    const std::vector<std::string> *excludedServers = nullptr;
};

/// A place, server and occupied unit for one attempt, or the reason why there is none.
struct Decision {
    std::optional<RoutingFailure> failure;
    std::uint16_t place = 0;
    std::uint32_t server = 0;
    /// Name of the shift that moved the request, if any.
    std::optional<std::string> shift;
};

/// Chooses a place and a server and occupies one unit of the server. The caller releases the unit with ServerLoad::release().
///
/// Places are considered nearest first. An active shift moves a request from its `from` place to its `to` place as far as its
/// cap allows; a request is moved at most once. Within a place the server with more free units of two random ones is preferred
/// (Mitzenmacher, "The Power of Two Choices", IEEE TPDS 2001).
[[nodiscard]] Decision decide(const RoutingTable &table, const DecisionInput &input);

/// Units of @p server that this VM may occupy now; 0 while the server is stopped, leaving or blocked.
[[nodiscard]] std::int64_t usableUnits(const RoutingTable &table, const ServerEntry &server, MonotonicMs now, WallMs wall);

/// True while a planned stop keeps new requests away from @p server. Begins stopLeadMs before the declared start, so that VMs
/// whose clocks are up to that much behind still stop in time.
[[nodiscard]] bool isStopped(const ServerEntry &server, WallMs wall);

constexpr WallMs stopLeadMs = 1'000;

/// A decision older than this is made again before the request is sent, because the process may have been paused meanwhile.
constexpr MonotonicMs maxDecisionAgeMs = 250;

/// A place in another region is not used while the backlog of its link exceeds this.
constexpr MonotonicMs maxLinkBacklogMs = 500;

} // namespace Wasabistair::Steering
