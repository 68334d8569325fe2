#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wasabistair::Base {

enum class SettingType {
    Text,
    Address,
    Integer,
    Flag,
};

/// Declares one setting, given as flag `--name` or environment variable `WASABISTAIR_NAME`. The bounds apply to integers only.
struct SettingSpec {
    std::string name;
    SettingType type = SettingType::Text;
    std::optional<std::string> defaultValue;
    std::string help;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

enum class SettingFaultKind {
    Unknown,
    Missing,
    NotAnInteger,
    OutOfRange,
    NotAnAddress,
    NotAFlag,
    BadSyntax,
};

/// Validation error of one setting.
struct SettingFault {
    SettingFaultKind kind;
    std::string name;
    std::string given;

    bool operator==(const SettingFault &) const = default;
};

[[nodiscard]] std::string toString(const SettingFault &fault);

/// Parses and validates the values of all declared settings.
class Settings
{
public:
    /// Takes each value from the first source that has it: flag, environment variable, default. Collects all errors in faults().
    Settings(std::vector<SettingSpec> specs, int argc, const char *const *argv);

    [[nodiscard]] const std::vector<SettingFault> &faults() const;
    [[nodiscard]] bool helpRequested() const;
    /// Positional arguments, in order.
    [[nodiscard]] const std::vector<std::string> &positional() const;
    [[nodiscard]] std::string text(std::string_view name) const;
    [[nodiscard]] std::int64_t integer(std::string_view name) const;
    [[nodiscard]] bool flag(std::string_view name) const;
    /// One line "name=value (source)" for each setting, for --print-settings.
    [[nodiscard]] std::string describe() const;
    [[nodiscard]] std::string help(std::string_view program) const;

private:
    struct Value {
        std::string text;
        std::string_view source;
    };

    void parseCommandLine(int argc, const char *const *argv);
    void resolveValue(const SettingSpec &spec, const std::optional<std::string> &fromFlag);
    void validate(const SettingSpec &spec, const std::string &text);
    [[nodiscard]] const Value &value(std::string_view name) const;

    std::vector<SettingSpec> specs_;
    std::vector<Value> values_;
    std::vector<SettingFault> faults_;
    std::vector<std::string> positional_;
    bool helpWanted_ = false;
};

/// Host and port of a network address.
struct HostPort {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const HostPort &) const = default;
};

/// Splits "host:port"; nullopt when malformed or the port is not in 1 to 65535.
[[nodiscard]] std::optional<HostPort> parseHostPort(std::string_view text);

} // namespace Wasabistair::Base
