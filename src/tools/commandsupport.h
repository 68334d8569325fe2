#pragma once

#include "commands.h"

#include <operators/table.h>
#include <platform/objectstore.h>
#include <steering/vm.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Wasabistair::Tools::Internal {

constexpr int vmTimeoutMs = 2'000;

void print(const Operators::Table &table, OutputFormat format);
/// Names the failure on standard error.
[[nodiscard]] ExitCode platformFailed(const Platform::PlatformError &error);
/// @p value with so many digits behind the point.
[[nodiscard]] std::string decimal(double value, int digits = 2);
/// Wall clock in milliseconds since the epoch.
[[nodiscard]] std::int64_t nowMs();
/// ISO 8601 with milliseconds.
[[nodiscard]] std::string timeText(std::int64_t wallMs);
/// Text of a JSON value, without quotes.
[[nodiscard]] std::string shown(const nlohmann::json &value);
[[nodiscard]] std::vector<Steering::Vm> entryVms(const Platform::VmList &list);

} // namespace Wasabistair::Tools::Internal
