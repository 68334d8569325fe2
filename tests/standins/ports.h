#pragma once

#include <cstdint>

namespace Wasabistair::StandIns {

/// A loopback port that was free a moment ago.
[[nodiscard]] std::uint16_t freePort();

} // namespace Wasabistair::StandIns
