#pragma once

#include "logline.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Wasabistair::Operators {

/// How far each VM's clock is ahead of the others', in ms. VMs hear of a change in the store (a manifest, an upstream, a
/// zone) within a round trip of each other, so a VM's offset is the median, over the changes it shares with others, of its
/// time less the median time of all. VMs that share no change get none. A clock that is set while the log is written has
/// one offset all the same: the one that holds for most of its changes.
[[nodiscard]] std::map<std::string, std::int64_t> clockOffsets(const std::vector<LogLine> &lines);

/// @p lines with each time corrected by its VM's offset, in order of time.
[[nodiscard]] std::vector<LogLine> inOrder(std::vector<LogLine> lines, const std::map<std::string, std::int64_t> &offsets);

} // namespace Wasabistair::Operators
