#pragma once

#include "entryvm.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Wasabistair::Steering {

/// Requests a second that a VM may be asked to carry, by its processor and its link.
[[nodiscard]] double carryingCapacity(const EntryVm &vm);

/// VMs for a caller in @p region, out of the living ones.
///
/// Those of the caller's region, or of all regions when it has none. Callers pick one at random, so a VM is named as often
/// as its capacity is to the largest one's. At least two are named when there are two: a caller that meets a dead one needs
/// another. @p random returns numbers in [0, 1).
[[nodiscard]] std::vector<EntryVm> entriesFor(const std::string &region, const std::vector<EntryVm> &living, const std::function<double()> &random);

/// Most VMs that one answer names.
constexpr std::size_t maxEntries = 64;

} // namespace Wasabistair::Steering
