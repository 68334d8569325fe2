#include "commandsupport.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/NumberFormatter.h>
#include <Poco/Timestamp.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <iterator>

namespace Wasabistair::Tools::Internal {

namespace {

constexpr std::int64_t usPerMs = 1'000;

} // namespace

std::string decimal(double value, int digits)
{
    return Poco::NumberFormatter::format(value, digits);
}

void print(const Operators::Table &table, OutputFormat format)
{
    switch (format) {
    case OutputFormat::Table:
        std::cout << table.toText();
        return;
    case OutputFormat::Json:
        std::cout << table.toJson();
        return;
    case OutputFormat::Csv:
        std::cout << table.toCsv();
        return;
    }
}

ExitCode platformFailed(const Platform::PlatformError &error)
{
    std::cerr << "wasabistairctl: platform: " << Platform::toString(error.failure) << " (" << error.key << ")\n";
    return ExitCode::PlatformFailed;
}

std::int64_t nowMs()
{
    return Poco::Timestamp().epochMicroseconds() / usPerMs;
}

std::string timeText(std::int64_t wallMs)
{
    const Poco::Timestamp stamp(wallMs * usPerMs);
    return Poco::DateTimeFormatter::format(stamp, Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
}

std::string displayText(const nlohmann::json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::vector<Steering::Vm> entryVms(const Platform::VmList &list)
{
    std::vector<Steering::Vm> vms;
    std::copy_if(list.vms.begin(), list.vms.end(), std::back_inserter(vms), [](const Steering::Vm &vm) { return vm.kind == Steering::VmKind::Entry; });
    return vms;
}

} // namespace Wasabistair::Tools::Internal
