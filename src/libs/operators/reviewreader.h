#pragma once

#include "review.h"

#include <platform/objectstore.h>

namespace Wasabistair::Operators {

/// Sums the figures of all groups and zones in @p month. Fails with the platform's error, or with MalformedAnswer if a stored
/// object can't be decoded.
[[nodiscard]] Base::Result<Figures> readMonthFigures(Platform::ObjectStore &store, const std::string &month);

} // namespace Wasabistair::Operators
