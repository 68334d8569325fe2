#include "settings.h"

#include <cxxopts.hpp>

#include <charconv>
#include <cstdlib>
#include <stdexcept>

namespace Wasabistair::Base {

namespace {

constexpr std::string_view environmentPrefix = "WASABISTAIR_";
constexpr int maxPort = 65535;

std::string environmentName(std::string_view name)
{
    std::string result(environmentPrefix);
    for (const char c : name) {
        result += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return result;
}

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string_view describeKind(SettingFaultKind kind)
{
    switch (kind) {
    case SettingFaultKind::Unknown:
        return "unknown setting";
    case SettingFaultKind::Missing:
        return "required setting is missing";
    case SettingFaultKind::NotAnInteger:
        return "not an integer";
    case SettingFaultKind::OutOfRange:
        return "out of range";
    case SettingFaultKind::NotAnAddress:
        return "not an address of the form IP:PORT";
    case SettingFaultKind::NotAFlag:
        return "not true or false";
    case SettingFaultKind::BadSyntax:
        return "malformed argument";
    }
    return "invalid setting";
}

} // namespace

std::optional<HostPort> parseHostPort(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const auto port = parseInteger(text.substr(colon + 1));
    if (!port || *port < 1 || *port > maxPort) {
        return std::nullopt;
    }
    return HostPort{std::string(text.substr(0, colon)), static_cast<std::uint16_t>(*port)};
}

std::string toString(const SettingFault &fault)
{
    std::string text = "--" + fault.name + ": " + std::string(describeKind(fault.kind));
    if (!fault.given.empty()) {
        text += " (given: " + fault.given + ")";
    }
    return text;
}

Settings::Settings(std::vector<SettingSpec> specs, int argc, const char *const *argv)
    : specs_(std::move(specs))
{
    parseCommandLine(argc, argv);
}

void Settings::parseCommandLine(int argc, const char *const *argv)
{
    cxxopts::Options options(argc > 0 ? argv[0] : "");
    options.allow_unrecognised_options();
    options.add_options()("h,help", "");
    options.add_options()("positional", "", cxxopts::value<std::vector<std::string>>());
    for (const SettingSpec &spec : specs_) {
        if (spec.type == SettingType::Flag) {
            options.add_options()(spec.name, spec.help, cxxopts::value<std::string>()->implicit_value("true"));
        } else {
            options.add_options()(spec.name, spec.help, cxxopts::value<std::string>());
        }
    }
    options.parse_positional({"positional"});
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        helpWanted_ = parsed.count("help") > 0;
        if (parsed.count("positional") > 0) {
            positional_ = parsed["positional"].as<std::vector<std::string>>();
        }
        for (const std::string &unknown : parsed.unmatched()) {
            faults_.push_back(
                {SettingFaultKind::Unknown, unknown.substr(unknown.find_first_not_of('-') == std::string::npos ? 0 : unknown.find_first_not_of('-')), ""});
        }
        for (const SettingSpec &spec : specs_) {
            std::optional<std::string> given;
            if (parsed.count(spec.name) > 0) {
                given = parsed[spec.name].as<std::string>();
            }
            resolveValue(spec, given);
        }
    } catch (const cxxopts::exceptions::exception &error) {
        faults_.push_back({SettingFaultKind::BadSyntax, "arguments", error.what()});
        for (const SettingSpec &spec : specs_) {
            resolveValue(spec, spec.defaultValue.value_or("0"));
        }
    }
}

void Settings::resolveValue(const SettingSpec &spec, const std::optional<std::string> &fromFlag)
{
    if (fromFlag) {
        values_.push_back({*fromFlag, "flag"});
    } else if (const char *environment = std::getenv(environmentName(spec.name).c_str())) {
        values_.push_back({environment, "environment"});
    } else if (spec.defaultValue) {
        values_.push_back({*spec.defaultValue, "default"});
    } else {
        values_.push_back({"", "missing"});
        faults_.push_back({SettingFaultKind::Missing, spec.name, ""});
        return;
    }
    validate(spec, values_.back().text);
}

void Settings::validate(const SettingSpec &spec, const std::string &text)
{
    switch (spec.type) {
    case SettingType::Text:
        return;
    case SettingType::Address:
        if (!text.empty() && !parseHostPort(text)) {
            faults_.push_back({SettingFaultKind::NotAnAddress, spec.name, text});
        }
        return;
    case SettingType::Flag:
        if (text != "true" && text != "false") {
            faults_.push_back({SettingFaultKind::NotAFlag, spec.name, text});
        }
        return;
    case SettingType::Integer: {
        const auto number = parseInteger(text);
        if (!number) {
            faults_.push_back({SettingFaultKind::NotAnInteger, spec.name, text});
        } else if (*number < spec.minimum || *number > spec.maximum) {
            faults_.push_back({SettingFaultKind::OutOfRange, spec.name, text});
        }
        return;
    }
    }
}

const std::vector<SettingFault> &Settings::faults() const
{
    return faults_;
}

bool Settings::helpRequested() const
{
    return helpWanted_;
}

const std::vector<std::string> &Settings::positional() const
{
    return positional_;
}

const Settings::Value &Settings::value(std::string_view name) const
{
    for (std::size_t i = 0; i < specs_.size(); ++i) {
        if (specs_[i].name == name) {
            return values_[i];
        }
    }
    throw std::logic_error("setting is not declared: " + std::string(name));
}

std::string Settings::text(std::string_view name) const
{
    return value(name).text;
}

std::int64_t Settings::integer(std::string_view name) const
{
    return parseInteger(value(name).text).value_or(0);
}

bool Settings::flag(std::string_view name) const
{
    return value(name).text == "true";
}

std::string Settings::describe() const
{
    std::string lines;
    for (std::size_t i = 0; i < specs_.size(); ++i) {
        lines += specs_[i].name + "=" + values_[i].text + " (" + std::string(values_[i].source) + ")\n";
    }
    return lines;
}

std::string Settings::help(std::string_view program) const
{
    std::string lines = "Usage: " + std::string(program) + " [settings]\n\nEach setting can be given as a flag or as an environment variable.\n\n";
    for (const SettingSpec &spec : specs_) {
        lines += "  --" + spec.name + "  " + environmentName(spec.name) + "\n      " + spec.help;
        if (spec.defaultValue) {
            lines += " Default: " + (spec.defaultValue->empty() ? std::string("none") : *spec.defaultValue) + ".";
        }
        lines += "\n";
    }
    return lines;
}

} // namespace Wasabistair::Base
