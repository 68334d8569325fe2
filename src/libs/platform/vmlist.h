#pragma once

#include "objectstore.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Wasabistair::Platform {

/// JSON of the list as the platform answers it and as our processes relay it; see docs/wire-formats.md.
[[nodiscard]] nlohmann::json vmListToJson(const VmList &list);
/// Ordered by id. Nothing when the list is malformed in any part.
[[nodiscard]] std::optional<VmList> vmListFromJson(const nlohmann::json &json);

/// What leads from one version of the list to another. From noVersion: the whole list.
struct ListDelta {
    Version from = noVersion;
    Version to = noVersion;
    /// VMs that are new or differ.
    std::vector<Steering::Vm> changed;
    std::vector<std::string> removed;

    bool operator==(const ListDelta &) const = default;
};

[[nodiscard]] ListDelta deltaBetween(const VmList &from, const VmList &to);
/// The list after @p delta, or nothing when @p list is not the one that it starts from.
[[nodiscard]] std::optional<VmList> applyDelta(const VmList &list, const ListDelta &delta);
[[nodiscard]] nlohmann::json deltaToJson(const ListDelta &delta);
[[nodiscard]] std::optional<ListDelta> deltaFromJson(const nlohmann::json &json);

[[nodiscard]] const Steering::Vm *findVm(const VmList &list, const std::string &id);
[[nodiscard]] std::size_t entryVmCount(const VmList &list);

} // namespace Wasabistair::Platform
