#include "logline.h"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeParser.h>
#include <Poco/Timestamp.h>

#include <charconv>
#include <optional>
#include <utility>

namespace Wasabistair::Operators {

namespace {

constexpr std::string_view timeKey = "time=";
constexpr std::int64_t usPerMs = 1'000;

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Parses a plain or quoted value and moves @p at past it; nullopt if the closing quote is missing.
std::optional<std::string> parseValue(std::string_view text, std::size_t &at)
{
    if (at >= text.size() || text[at] != '"') {
        const std::size_t end = std::min(text.find(' ', at), text.size());
        std::string value(text.substr(at, end - at));
        at = end;
        return value;
    }
    std::string value;
    for (++at; at < text.size(); ++at) {
        if (text[at] == '"') {
            ++at;
            return value;
        }
        if (text[at] == '\\' && at + 1 < text.size()) {
            ++at;
        }
        value += text[at];
    }
    return std::nullopt;
}

std::optional<Fields> splitFields(std::string_view text)
{
    Fields fields;
    for (std::size_t at = 0; at < text.size();) {
        if (text[at] == ' ') {
            ++at;
            continue;
        }
        const std::size_t equals = text.find('=', at);
        if (equals == std::string_view::npos || text.substr(at, equals - at).find(' ') != std::string_view::npos) {
            return std::nullopt;
        }
        std::string key(text.substr(at, equals - at));
        at = equals + 1;
        auto value = parseValue(text, at);
        if (!value) {
            return std::nullopt;
        }
        fields.emplace_back(std::move(key), std::move(*value));
    }
    return fields;
}

/// Checks the format strictly, since Poco's parser accepts many texts that aren't times.
bool hasTimeFormat(std::string_view text)
{
    constexpr std::string_view pattern = "0000-00-00T00:00:00.000";
    if (text.size() != pattern.size()) {
        return false;
    }
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        const bool isDigit = text[i] >= '0' && text[i] <= '9';
        if (pattern[i] == '0' ? !isDigit : text[i] != pattern[i]) {
            return false;
        }
    }
    return true;
}

std::optional<std::int64_t> parseTime(const std::string &text)
{
    Poco::DateTime time;
    int zone = 0;
    if (!hasTimeFormat(text) || !Poco::DateTimeParser::tryParse(Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, text, time, zone)) {
        return std::nullopt;
    }
    return time.timestamp().epochMicroseconds() / usPerMs;
}

/// Last word before the time, without the punctuation that log collectors put around it.
std::string vmFromPrefix(std::string_view prefix)
{
    constexpr std::string_view separators = " \t:|[]()<>,";
    const std::size_t last = prefix.find_last_not_of(separators);
    if (last == std::string_view::npos) {
        return "";
    }
    const std::size_t before = prefix.find_last_of(separators, last);
    const std::size_t first = before == std::string_view::npos ? 0 : before + 1;
    return std::string(prefix.substr(first, last + 1 - first));
}

/// Parses @p text into @p line; returns the fault, if any.
std::optional<LogFault> parseLine(std::string_view text, LogLine &line)
{
    const std::size_t begin = text.starts_with(timeKey) ? 0 : text.find(std::string(" ").append(timeKey));
    if (begin == std::string_view::npos) {
        return LogFault::NoTime;
    }
    const auto fields = splitFields(text.substr(begin));
    if (!fields) {
        return LogFault::BadField;
    }
    line.vm = vmFromPrefix(text.substr(0, begin));
    for (const auto &[key, value] : *fields) {
        if (key == "time") {
            const auto time = parseTime(value);
            if (!time) {
                return LogFault::BadTime;
            }
            line.wallMs = *time;
        } else if (key == "level") {
            line.level = value;
        } else if (key == "event") {
            line.event = value;
        } else {
            line.fields.emplace(key, value);
        }
    }
    return line.event.empty() ? std::optional(LogFault::NoEvent) : std::nullopt;
}

} // namespace

std::string_view toString(LogFault fault)
{
    switch (fault) {
    case LogFault::NoTime:
        return "no time";
    case LogFault::BadTime:
        return "the time can't be read";
    case LogFault::NoEvent:
        return "no event";
    case LogFault::BadField:
        return "not a list of key=value";
    }
    return "unknown";
}

std::string LogLine::field(const std::string &key) const
{
    const auto found = fields.find(key);
    return found == fields.end() ? "" : found->second;
}

std::int64_t LogLine::number(const std::string &key, std::int64_t fallback) const
{
    const std::string text = field(key);
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? value : fallback;
}

void readLog(std::istream &input, const std::string &source, LogSet &set)
{
    std::string vm = source;
    std::size_t number = 0;
    const std::size_t first = set.lines.size();
    for (std::string text; std::getline(input, text);) {
        ++number;
        if (text.empty()) {
            continue;
        }
        LogLine line;
        if (const auto fault = parseLine(text, line)) {
            set.faults.push_back({source, number, *fault});
            continue;
        }
        if (line.vm.empty()) {
            if (line.event == "started" && !line.field("vm").empty()) {
                vm = line.field("vm");
            }
            line.vm = vm;
        }
        set.lines.push_back(std::move(line));
    }
    // Lines before the first "started" line, for example after a log rotation, belong to the same VM.
    for (std::size_t i = first; i < set.lines.size(); ++i) {
        if (set.lines[i].vm == source) {
            set.lines[i].vm = vm;
        }
    }
}

} // namespace Wasabistair::Operators
