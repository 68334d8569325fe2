#pragma once

#include "objectstore.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace Wasabistair::Platform {

/// JSON of the list as the platform answers it and as our processes relay it; see docs/wire-formats.md.
[[nodiscard]] nlohmann::json vmListToJson(const VmList &list);
/// Nothing when the list is malformed in any part.
[[nodiscard]] std::optional<VmList> vmListFromJson(const nlohmann::json &json);

[[nodiscard]] const Steering::Vm *findVm(const VmList &list, const std::string &id);

} // namespace Wasabistair::Platform
