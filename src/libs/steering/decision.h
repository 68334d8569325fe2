#pragma once

#include "routingtable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Wasabistair::Steering {

enum class Refusal {
    /// No place of the service can be reached from here.
    NoPlace,
    /// This VM holds no slot and therefore no part of any capacity.
    NoSlot,
    /// Every unit that this VM may use is occupied, stopped or withheld.
    NoHeadroom,
};

/// Inputs of decide().
struct DecisionInput {
    std::uint16_t service = 0;
    std::string_view region;
    MonotonicMs now = 0;
    WallMs wall = 0;
    std::uint64_t random = 0;
    /// Ids of servers that an earlier try of the same request used.
    const std::vector<std::string> *excludedServers = nullptr;
};

/// A place, server and occupied unit for one try, or the reason why there is none.
struct Decision {
    std::optional<Refusal> refusal;
    std::uint16_t place = 0;
    std::uint32_t server = 0;
    /// Shift that moved the request, if any.
    std::optional<std::string> shift;
};

/// Chooses place and server and occupies one unit of the server (release with ServerLoad::release()).
///
/// Places are tried nearest first. An active shift moves a request from its `from` place to its `to`
/// place as far as its cap allows; a request is moved at most once. Within a place the less occupied
/// of two random servers is taken (Mitzenmacher, "The Power of Two Choices", IEEE TPDS 2001).
[[nodiscard]] Decision decide(const RoutingTable &table, const DecisionInput &input);

/// Units of @p server that this VM may occupy now: 0 while it is stopped, leaving or blocked.
[[nodiscard]] std::int64_t usableUnits(const RoutingTable &table, const ServerEntry &server, MonotonicMs now, WallMs wall);

/// True while a planned stop keeps new work away. Begins stopLeadMs before the declared start, so that
/// VMs whose clocks are that much behind keep it as well.
[[nodiscard]] bool isStopped(const ServerEntry &server, WallMs wall);

constexpr WallMs stopLeadMs = 1'000;

/// A decision older than this is made again immediately before sending, since its holder may have been paused.
constexpr MonotonicMs maxDecisionAgeMs = 250;

/// A place in another region is not used while its link has this much booked already.
constexpr MonotonicMs maxLinkBacklogMs = 500;

} // namespace Wasabistair::Steering
