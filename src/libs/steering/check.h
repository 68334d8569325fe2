#pragma once

#include "objects.h"
#include "schema.h"

#include <vector>

namespace Wasabistair::Steering {

/// Checks the whole set together: names, references, overlaps in time, capacity under planned stops,
/// paths between regions. Every object must have passed checkSchema(). Returns every fault, in order.
[[nodiscard]] std::vector<Fault> checkObjects(const ObjectSet &objects);

} // namespace Wasabistair::Steering
