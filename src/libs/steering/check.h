#pragma once

#include "objects.h"
#include "schema.h"

#include <vector>

namespace Wasabistair::Steering {

/// Checks the objects of a set against each other: names, references, overlaps in time, capacity during planned stops, links
/// between regions. Every object must have passed checkSchema(). Returns all errors, sorted.
[[nodiscard]] std::vector<ValidationError> checkObjects(const ObjectSet &objects);

} // namespace Wasabistair::Steering
