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
    /// VM that wrote the line; the name of the source (such as the file) if the log doesn't name a VM.
    std::string vm;
    /// Time by the VM's own clock, in ms since the epoch.
    std::int64_t wallMs = 0;
    std::string level;
    std::string event;
    std::map<std::string, std::string> fields;

    /// Value of @p key; empty if the key is missing.
    [[nodiscard]] std::string field(const std::string &key) const;
    /// Value of @p key as a number; @p fallback if the key is missing or its value isn't an integer.
    [[nodiscard]] std::int64_t number(const std::string &key, std::int64_t fallback = 0) const;

    bool operator==(const LogLine &) const = default;
};

struct LogReadFault {
    std::string source;
    /// Line number, starting at 1.
    std::size_t line = 0;
    LogFault fault = LogFault::NoTime;

    bool operator==(const LogReadFault &) const = default;
};

/// Parsed log lines of one or more VMs.
struct LogSet {
    std::vector<LogLine> lines;
    /// Lines that can't be parsed; they are skipped.
    std::vector<LogReadFault> faults;

    bool operator==(const LogSet &) const = default;
};

/// Parses @p input and appends its lines to @p set. The word before "time=" names the VM, as in the output of log collectors
/// that merge several sources. Without such a prefix, the VM is the one of the last "started" line, or else @p source.
void readLog(std::istream &input, const std::string &source, LogSet &set);

} // namespace Wasabistair::Operators
