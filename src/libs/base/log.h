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

/// Sends log lines to standard error at @p level and above. Call once, before the first line.
void configureLog(LogLevel level);

/// Writes one line for one event.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Wasabistair::Base
