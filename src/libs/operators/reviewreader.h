#pragma once

#include "review.h"

#include <platform/objectstore.h>

namespace Wasabistair::Operators {

/// Figures of all groups of all zones in @p month; fails with the platform's error, or with BadAnswer for an
/// object that can't be read.
[[nodiscard]] Base::Result<Figures> readMonth(Platform::ObjectStore &store, const std::string &month);

} // namespace Wasabistair::Operators
