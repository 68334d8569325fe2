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

/// Declares one setting: flag `--name` and environment variable `WASABISTAIR_NAME`.
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

/// One fault of the given settings.
struct SettingFault {
    SettingFaultKind kind;
    std::string name;
    std::string given;

    bool operator==(const SettingFault &) const = default;
};

[[nodiscard]] std::string toString(const SettingFault &fault);

/// Checked values of all declared settings.
class Settings
{
public:
    /// Reads flags first, then the environment, then defaults. Collects every fault.
    Settings(std::vector<SettingSpec> specs, int argc, const char *const *argv);

    [[nodiscard]] const std::vector<SettingFault> &faults() const;
    [[nodiscard]] bool helpWanted() const;
    /// Positional arguments, in order.
    [[nodiscard]] const std::vector<std::string> &positional() const;
    [[nodiscard]] std::string text(std::string_view name) const;
    [[nodiscard]] std::int64_t integer(std::string_view name) const;
    [[nodiscard]] bool flag(std::string_view name) const;
    /// "name=value (source)" lines for --print-settings.
    [[nodiscard]] std::string describe() const;
    [[nodiscard]] std::string help(std::string_view program) const;

private:
    struct Value {
        std::string text;
        std::string_view source;
    };

    void readFlags(int argc, const char *const *argv);
    void resolve(const SettingSpec &spec, const std::optional<std::string> &fromFlag);
    void check(const SettingSpec &spec, const std::string &text);
    [[nodiscard]] const Value &value(std::string_view name) const;

    std::vector<SettingSpec> specs_;
    std::vector<Value> values_;
    std::vector<SettingFault> faults_;
    std::vector<std::string> positional_;
    bool helpWanted_ = false;
};

/// "host:port" split in two; nothing when malformed.
struct HostPort {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const HostPort &) const = default;
};

[[nodiscard]] std::optional<HostPort> parseHostPort(std::string_view text);

} // namespace Wasabistair::Base
