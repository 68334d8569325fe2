#include "clockoffsets.h"

#include <algorithm>

namespace Wasabistair::Operators {

namespace {

std::int64_t median(std::vector<std::int64_t> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Identifies the store change that @p line reports and that all VMs receive at about the same time; empty for other lines.
std::string storeChangeOf(const LogLine &line)
{
    if (line.event == "manifest-in-force") {
        return line.event + " " + line.field("version");
    }
    if (line.event == "upstream-unregistered" || line.event == "upstream-registered") {
        return line.event + " " + line.field("upstream") + " " + line.field("revision");
    }
    if (line.event == "zone-evacuated" || line.event == "zone-taken-back") {
        return line.event + " " + line.field("zone") + " " + line.field("revision");
    }
    return "";
}

} // namespace

std::map<std::string, std::int64_t> clockOffsets(const std::vector<LogLine> &lines)
{
    // Only the first line of each VM about a change counts: a VM that restarts logs the same change again later.
    std::map<std::string, std::map<std::string, std::int64_t>> firstLoggedAt;
    for (const LogLine &line : lines) {
        const std::string change = storeChangeOf(line);
        if (!change.empty()) {
            firstLoggedAt[change].try_emplace(line.vm, line.wallMs);
        }
    }
    std::map<std::string, std::vector<std::int64_t>> differences;
    for (const auto &[change, times] : firstLoggedAt) {
        if (times.size() < 2) {
            continue;
        }
        std::vector<std::int64_t> all;
        for (const auto &[vm, time] : times) {
            all.push_back(time);
        }
        const std::int64_t middle = median(all);
        for (const auto &[vm, time] : times) {
            differences[vm].push_back(time - middle);
        }
    }
    std::map<std::string, std::int64_t> offsets;
    for (const auto &[vm, values] : differences) {
        offsets[vm] = median(values);
    }
    return offsets;
}

std::vector<LogLine> sortedByCorrectedTime(std::vector<LogLine> lines, const std::map<std::string, std::int64_t> &offsets)
{
    for (LogLine &line : lines) {
        const auto offset = offsets.find(line.vm);
        line.wallMs -= offset == offsets.end() ? 0 : offset->second;
    }
    std::stable_sort(lines.begin(), lines.end(), [](const LogLine &left, const LogLine &right) { return left.wallMs < right.wallMs; });
    return lines;
}

} // namespace Wasabistair::Operators
