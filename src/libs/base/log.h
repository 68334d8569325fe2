#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Wasabistair::Base {

/// One key=value pair of a log line.
struct LogField {
    std::string_view key;
    std::string value;

    LogField(std::string_view key, std::string_view value)
        : key(key)
        , value(value)
    {}
    LogField(std::string_view key, const char *value)
        : key(key)
        , value(value)
    {}
    template<std::integral T>
    LogField(std::string_view key, T value)
        : key(key)
        , value(std::to_string(value))
    {}
};

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Formats "event=<event> key=value …"; values with blanks, quotes or controls are quoted and escaped.
[[nodiscard]] std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields);

enum class LogOutput {
    /// Written by a thread of its own, so that a slow reader does not delay whoever logs. What the buffer can't hold is left
    /// out, and a line tells how much.
    StandardOutput,
    /// Written at once; for programs whose standard output is their result.
    StandardError,
};

/// Sends log lines at @p level and above to @p output. Call once, before the first line.
void configureLog(LogLevel level, LogOutput output);

/// Writes one line for one event.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Wasabistair::Base
