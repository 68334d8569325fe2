#pragma once

#include <base/settings.h>
#include <platform/objectstore.h>

#include <string>
#include <vector>

/// Commands of wasabistairctl.
namespace Wasabistair::Tools {

/// Exit codes of wasabistairctl, documented in docs/operators.md.
enum class ExitCode {
    Ok = 0,
    /// The declarations have faults.
    Faults = 1,
    BadUsage = 2,
    /// Another generation was published in the meantime; this one wasn't.
    Conflict = 3,
    /// A call to the platform failed; nothing was published.
    PlatformFailed = 4,
    /// The platform kept failing after the head may have been updated; whether the generation was accepted is unknown.
    Unknown = 5,
    /// The generation was accepted, but some VMs didn't confirm it within --wait-ms.
    NotConfirmed = 6,
    NotFound = 7,
};

enum class OutputFormat {
    Table,
    Json,
    Csv,
};

/// Settings of all commands.
struct CommandOptions {
    OutputFormat output = OutputFormat::Table;
    std::string month;
    std::string plotFile;
    std::string service;
    std::string client;
    std::string vm;
    std::string kind;
    std::string request;
    std::string pattern;
    std::int64_t seed = 1;
    std::string upstream;
    std::string manifest;
    std::int64_t baseGeneration = -1;
    std::int64_t waitMs = 0;
    std::int64_t limit = 0;
};

[[nodiscard]] ExitCode checkCommand(const std::string &directory, const CommandOptions &options);
[[nodiscard]] ExitCode diffCommand(Platform::ObjectStore &store, const std::string &directory, const CommandOptions &options);
[[nodiscard]] ExitCode publishCommand(Platform::ObjectStore &store, const std::string &directory, const CommandOptions &options);
[[nodiscard]] ExitCode statusCommand(Platform::ObjectStore &store, const CommandOptions &options);
[[nodiscard]] ExitCode timelineCommand(Platform::ObjectStore &store, const CommandOptions &options);
[[nodiscard]] ExitCode reportCommand(Platform::ObjectStore &store, const CommandOptions &options);
[[nodiscard]] ExitCode lookupCommand(Platform::ObjectStore &store, const CommandOptions &options);
[[nodiscard]] ExitCode historyCommand(Platform::ObjectStore &store, const CommandOptions &options);
[[nodiscard]] ExitCode pruneCommand(Platform::ObjectStore &store);
/// Explains a request, or shows the log lines of all VMs about an upstream, a VM or a manifest. Reads standard input if
/// @p files is empty.
[[nodiscard]] ExitCode explainCommand(const std::vector<std::string> &files, const CommandOptions &options);
/// Compares policies for selecting upstreams in a simulation of the fleet.
[[nodiscard]] ExitCode experimentCommand(const CommandOptions &options);
/// Prints the reference of all object kinds, as in docs/objects.md.
[[nodiscard]] ExitCode schemaCommand();

} // namespace Wasabistair::Tools
