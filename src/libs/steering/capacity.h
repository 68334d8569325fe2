#pragma once

#include "objects.h"

#include <compare>
#include <string>
#include <vector>

namespace Wasabistair::Steering {

/// Usable slots of one service from @c time until the next point of the same service.
struct CapacityPoint {
    WallMs time = 0;
    std::string service;
    std::int64_t slots = 0;
    /// Names of the planned stops in effect.
    std::vector<std::string> stops;

    auto operator<=>(const CapacityPoint &) const = default;
};

/// Usable slots of each service at time 0 and at each start and end of a planned stop.
[[nodiscard]] std::vector<CapacityPoint> capacityOverTime(const ObjectSet &objects);

} // namespace Wasabistair::Steering
