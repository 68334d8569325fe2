#pragma once

#include "objects.h"

#include <compare>
#include <string>
#include <vector>

namespace Wasabistair::Steering {

/// Slots of one service that stay usable from one time on, until the next point of the same service.
struct CapacityPoint {
    WallMs time = 0;
    std::string service;
    std::int64_t slots = 0;
    std::vector<std::string> stops;

    auto operator<=>(const CapacityPoint &) const = default;
};

/// Usable slots of each service at the start of time and at each start and end of a planned stop.
[[nodiscard]] std::vector<CapacityPoint> capacityOverTime(const ObjectSet &objects);

} // namespace Wasabistair::Steering
