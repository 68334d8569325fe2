#pragma once

#include "entryvm.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Wasabistair::Steering {

/// Estimated requests per second that a VM can serve, from its processor share and link rate; capped.
[[nodiscard]] double estimatedCapacity(const EntryVm &vm);

/// Selects entry VMs for a caller in @p region from those in @p alive.
///
/// Candidates are the VMs of the caller's region, or all VMs when that region has none. Callers pick one at random, so each
/// candidate is included with the probability of its capacity relative to the largest. At least two are returned when there are two
/// candidates, so that a caller has an alternative to a dead VM. @p random returns numbers in [0, 1).
[[nodiscard]] std::vector<EntryVm> selectEntryVms(const std::string &region, const std::vector<EntryVm> &alive, const std::function<double()> &random);

/// Maximum number of VMs in one answer.
constexpr std::size_t maxSelectedVms = 64;

} // namespace Wasabistair::Steering
