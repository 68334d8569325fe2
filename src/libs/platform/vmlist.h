#pragma once

#include "objectstore.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wasabistair::Platform {

/// JSON form in which the platform returns the list and entry VMs forward it; see docs/wire-formats.md.
[[nodiscard]] nlohmann::json vmListToJson(const VmList &list);
/// Returns the list ordered by id, or nothing if any part of @p json is malformed.
[[nodiscard]] std::optional<VmList> vmListFromJson(const nlohmann::json &json);

/// Reads the list in the platform's answer. VMs that can't be read are logged and left out, so that they don't hide the others. Returns nothing
/// if @p text is no list or has no version.
[[nodiscard]] std::optional<VmList> readVmList(std::string_view text);

/// Changes between two versions of the list. A delta from noVersion contains the whole list.
struct ListDelta {
    Version from = noVersion;
    Version to = noVersion;
    /// VMs that were added or changed.
    std::vector<Steering::Vm> changed;
    std::vector<std::string> removed;

    bool operator==(const ListDelta &) const = default;
};

[[nodiscard]] ListDelta deltaBetween(const VmList &from, const VmList &to);
/// Returns @p list with @p delta applied, or nothing if @p list does not have the version that the delta starts from.
[[nodiscard]] std::optional<VmList> applyDelta(const VmList &list, const ListDelta &delta);
[[nodiscard]] nlohmann::json deltaToJson(const ListDelta &delta);
[[nodiscard]] std::optional<ListDelta> deltaFromJson(const nlohmann::json &json);

[[nodiscard]] const Steering::Vm *findVm(const VmList &list, const std::string &id);
[[nodiscard]] std::size_t entryVmCount(const VmList &list);

} // namespace Wasabistair::Platform
