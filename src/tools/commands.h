#pragma once

#include <base/settings.h>
#include <platform/objectstore.h>

#include <string>
#include <vector>

/// The operators' command.
namespace Wasabistair::Tools {

/// Exit codes of wasabistairctl, documented in docs/operators.md.
enum class ExitCode {
    Ok = 0,
    /// The declarations have faults.
    Faults = 1,
    BadUsage = 2,
    /// Somebody else published in between; nothing of ours was published.
    Raced = 3,
    /// The platform could not be used; nothing was published.
    PlatformFailed = 4,
    /// The platform failed for good after the head may have been updated.
    Unknown = 5,
    /// Accepted, but some VMs have not confirmed it within the time given.
    NotEverywhere = 6,
    NotFound = 7,
};

enum class OutputFormat {
    Table,
    Json,
    Csv,
};

/// Settings that commands share.
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
/// Explains a request, or shows what the logs of VMs say of an upstream, a VM or a manifest. @p files: standard input if empty.
[[nodiscard]] ExitCode explainCommand(const std::vector<std::string> &files, const CommandOptions &options);
/// Compares ways to choose upstreams on a model of the fleet.
[[nodiscard]] ExitCode experimentCommand(const CommandOptions &options);
/// Prints the reference of all objects, as in docs/objects.md.
[[nodiscard]] ExitCode schemaCommand();

} // namespace Wasabistair::Tools
