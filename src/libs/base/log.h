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

/// Formats "event=<event> key=value …". Values that are empty or contain spaces, quotes, backslashes, equals signs or control
/// characters are quoted and escaped; control characters become spaces.
[[nodiscard]] std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields);

enum class LogOutput {
    /// Written asynchronously through a bounded buffer, so that a slow reader does not block the threads that log. Lines that do not
    /// fit in the buffer are discarded, and a log line reports their number.
    StandardOutput,
    /// Written synchronously; for programs that print their result on standard output.
    StandardError,
};

/// Writes log lines at @p level and above to @p output. Call once, before the first call of log().
void configureLog(LogLevel level, LogOutput output);

/// Writes one log line for one event.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Wasabistair::Base
