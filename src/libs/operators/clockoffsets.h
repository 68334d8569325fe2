#pragma once

#include "logline.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Wasabistair::Operators {

/// Estimates how far each VM's clock is ahead of the others', in ms. VMs receive a change of the store (a manifest, an
/// upstream, a zone) within a round trip of each other. A VM's offset is the median, over the changes that at least one
/// other VM logged too, of its own time minus the median time of all VMs. VMs without such a change have no entry. A clock
/// that is adjusted while the log is written gets a single offset: the one in effect for most of its changes.
[[nodiscard]] std::map<std::string, std::int64_t> clockOffsets(const std::vector<LogLine> &lines);

/// Subtracts each VM's offset from the times of its lines and returns all @p lines sorted by the corrected time.
[[nodiscard]] std::vector<LogLine> sortedByCorrectedTime(std::vector<LogLine> lines, const std::map<std::string, std::int64_t> &offsets);

} // namespace Wasabistair::Operators
