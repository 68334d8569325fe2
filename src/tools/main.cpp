#include "commands.h"

#include <base/log.h>
#include <base/settings.h>
#include <platform/httpobjectstore.h>

#include <csignal>
#include <iostream>
#include <optional>

namespace {

using namespace Wasabistair;
using Base::SettingSpec;
using Base::SettingType;
using Tools::CommandOptions;
using Tools::ExitCode;
using Tools::OutputFormat;

constexpr std::int64_t maxWaitMs = 600'000;

const char *const usage = R"(Usage: wasabistairctl COMMAND [ARGUMENT] [settings]

Commands:
  check DIR      Check the declarations in DIR; print every fault.
  diff DIR       Show what publishing DIR would change.
  publish DIR    Check and publish DIR (--base-generation, --wait-ms).
  history        Show the accepted generations.
  status         Show every VM, shift and planned stop.
  timeline       Show events over all processes (--vm, --kind, --limit).
  report         Show the figures of a month (--month, --plot FILE).
  lookup         Explain a look-up (--service, --client, --vm).
  explain FILE…  Explain a request (--request), or show the log lines about an
                 upstream, VM or manifest (--upstream, --vm, --manifest).
  experiment     Compare policies for selecting upstreams in a simulation
                 (--pattern, --seed).
  prune          Remove content that no kept generation uses.
  schema         Print the reference of all objects.

Examples:
  wasabistairctl check examples/agency
  wasabistairctl publish examples/agency --platform 10.0.0.5:8080 --wait-ms 5000
  wasabistairctl report --month 2026-12 --output csv
  wasabistairctl explain --request 91c1993eef329c6d logs/*.log
  wasabistairctl lookup --service order-ledger --client 10.1.2.3

)";

SettingSpec text(std::string name, std::string defaultValue, std::string help)
{
    return {std::move(name), SettingType::Text, std::move(defaultValue), std::move(help), 0, 0};
}

std::vector<SettingSpec> specs()
{
    return {{"platform", SettingType::Address, "127.0.0.1:8080", "IP:PORT of the platform's object API.", 0, 0},
        {"platform-timeout-ms", SettingType::Integer, "5000", "Timeout of calls to the platform, in ms.", 100, 60'000},
        text("output", "table", "table, json or csv."), text("month", "", "Month of the report, YYYY-MM; the current one if empty."),
        text("plot", "", "File for an SVG plot of the report."), text("service", "", "Service to look up."),
        text("client", "", "Caller's address; needs VMs that trust the parameter."), text("vm", "", "Only this VM."),
        text("pattern", "", "Load pattern of the experiment; all if empty."), {"seed", SettingType::Integer, "1", "Seed of the experiment.", 0, INT64_MAX},
        text("request", "", "Id of the request to explain."), text("upstream", "", "Upstream to show."),
        text("manifest", "", "Version of the manifest to show."), text("kind", "", "Only events of this kind."),
        {"base-generation", SettingType::Integer, "-1", "Publish only if this is the current generation; -1 for any.", -1, INT64_MAX},
        {"wait-ms", SettingType::Integer, "0", "Longest wait until the generation is in force on every entry VM, in ms; 0 doesn't wait.", 0, maxWaitMs},
        {"limit", SettingType::Integer, "0", "Maximum number of events, the latest ones; 0 for all.", 0, 1'000'000}};
}

bool parseOutput(const std::string &text, OutputFormat &format)
{
    if (text == "table") {
        format = OutputFormat::Table;
    } else if (text == "json") {
        format = OutputFormat::Json;
    } else if (text == "csv") {
        format = OutputFormat::Csv;
    } else {
        return false;
    }
    return true;
}

ExitCode badUsage(const std::string &cause)
{
    std::cerr << "wasabistairctl: " << cause << "\n" << usage;
    return ExitCode::BadUsage;
}

/// Runs a command that needs no platform; nullopt if @p command isn't one.
std::optional<ExitCode> runLocally(const std::string &command, const std::vector<std::string> &arguments, const CommandOptions &options)
{
    if (command == "explain") {
        return Tools::explainCommand({arguments.begin() + 1, arguments.end()}, options);
    }
    if (command == "experiment") {
        return Tools::experimentCommand(options);
    }
    if (command == "schema") {
        return Tools::schemaCommand();
    }
    return std::nullopt;
}

ExitCode dispatch(const Base::Settings &settings, const CommandOptions &options, Platform::ObjectStore &store)
{
    const std::vector<std::string> &arguments = settings.positional();
    const std::string command = arguments.empty() ? "" : arguments[0];
    if (const auto code = runLocally(command, arguments, options)) {
        return *code;
    }
    const bool takesDirectory = command == "check" || command == "diff" || command == "publish";
    if (arguments.size() != (takesDirectory ? 2U : 1U)) {
        return badUsage(command.empty() ? "no command given" : command + ": wrong number of arguments");
    }
    if (command == "check") {
        return Tools::checkCommand(arguments[1], options);
    }
    if (command == "diff") {
        return Tools::diffCommand(store, arguments[1], options);
    }
    if (command == "publish") {
        return Tools::publishCommand(store, arguments[1], options);
    }
    if (command == "history") {
        return Tools::historyCommand(store, options);
    }
    if (command == "status") {
        return Tools::statusCommand(store, options);
    }
    if (command == "timeline") {
        return Tools::timelineCommand(store, options);
    }
    if (command == "report") {
        return Tools::reportCommand(store, options);
    }
    if (command == "lookup") {
        return Tools::lookupCommand(store, options);
    }
    if (command == "prune") {
        return Tools::pruneCommand(store);
    }
    return badUsage("unknown command " + command);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const Base::Settings settings(specs(), argc, argv);
    if (settings.helpRequested()) {
        std::cout << usage << settings.help("wasabistairctl");
        return 0;
    }
    for (const Base::SettingFault &fault : settings.faults()) {
        std::cerr << "wasabistairctl: " << Base::toString(fault) << "\n";
    }
    CommandOptions options;
    if (!settings.faults().empty()) {
        return static_cast<int>(ExitCode::BadUsage);
    }
    if (!parseOutput(settings.text("output"), options.output)) {
        return static_cast<int>(badUsage("--output must be table, json or csv"));
    }
    options.month = settings.text("month");
    options.plotFile = settings.text("plot");
    options.service = settings.text("service");
    options.client = settings.text("client");
    options.vm = settings.text("vm");
    options.kind = settings.text("kind");
    options.request = settings.text("request");
    options.pattern = settings.text("pattern");
    options.seed = settings.integer("seed");
    options.upstream = settings.text("upstream");
    options.manifest = settings.text("manifest");
    options.baseGeneration = settings.integer("base-generation");
    options.waitMs = settings.integer("wait-ms");
    options.limit = settings.integer("limit");
    Base::configureLog(Base::LogLevel::Warning, Base::LogOutput::StandardError);
    Platform::HttpObjectStore store(*Base::parseHostPort(settings.text("platform")), static_cast<int>(settings.integer("platform-timeout-ms")));
    return static_cast<int>(dispatch(settings, options, store));
}
