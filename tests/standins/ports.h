#pragma once

#include <cstdint>

namespace Wasabistair::StandIns {

/// A loopback port that was free during this call. No other call returns it while this process runs, in this or another test process.
[[nodiscard]] std::uint16_t freePort();

} // namespace Wasabistair::StandIns
