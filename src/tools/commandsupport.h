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
/// Prints the error to standard error.
[[nodiscard]] ExitCode platformFailed(const Platform::PlatformError &error);
/// Formats @p value with @p digits decimal places.
[[nodiscard]] std::string decimal(double value, int digits = 2);
/// Wall clock in milliseconds since the epoch.
[[nodiscard]] std::int64_t nowMs();
/// Formats @p wallMs, in ms since the epoch, as ISO 8601 in UTC with milliseconds.
[[nodiscard]] std::string timeText(std::int64_t wallMs);
/// Text of a JSON value; strings without quotes.
[[nodiscard]] std::string displayText(const nlohmann::json &value);
[[nodiscard]] std::vector<Steering::Vm> entryVms(const Platform::VmList &list);

} // namespace Wasabistair::Tools::Internal
