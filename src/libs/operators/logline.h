#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Wasabistair::Operators {

enum class LogFault {
    NoTime,
    BadTime,
    NoEvent,
    BadField,
};

[[nodiscard]] std::string_view toString(LogFault fault);

/// One line of a VM's log.
struct LogLine {
    /// VM that wrote it; the name of its source until a "started" line tells.
    std::string vm;
    /// The VM's own clock, ms since the epoch.
    std::int64_t wallMs = 0;
    std::string level;
    std::string event;
    std::map<std::string, std::string> fields;

    /// Value of @p key; empty when the line has none.
    [[nodiscard]] std::string field(const std::string &key) const;
    /// Value of @p key as a number; @p missing when there is none or it is no number.
    [[nodiscard]] std::int64_t number(const std::string &key, std::int64_t missing = 0) const;

    bool operator==(const LogLine &) const = default;
};

struct LogReadFault {
    std::string source;
    /// From 1.
    std::size_t line = 0;
    LogFault fault = LogFault::NoTime;

    bool operator==(const LogReadFault &) const = default;
};

/// What was read from the logs of some VMs.
struct LogSet {
    std::vector<LogLine> lines;
    /// Lines that can't be read; reading goes on behind them.
    std::vector<LogReadFault> faults;

    bool operator==(const LogSet &) const = default;
};

/// Adds the lines of @p input to @p set. What stands before "time=" names the VM, as in the output of a collector that puts
/// sources together; without it the VM is that of the last "started" line, or @p source.
void readLog(std::istream &input, const std::string &source, LogSet &set);

} // namespace Wasabistair::Operators
