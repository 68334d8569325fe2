#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Wasabistair::StandIns {

/// A process of ours under test; killed when the object goes.
class ChildProcess
{
public:
    /// Starts @p binary of the build's bin directory; output goes to @p logFile if given.
    ChildProcess(const std::string &binary, const std::vector<std::string> &arguments, const std::string &logFile = "");
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const;
    /// Waits for the end; returns the exit code, or 128 + signal.
    int wait();
    /// As wait(), but gives up after @p milliseconds with -1.
    int waitFor(int milliseconds);
    void kill();
    /// For messages: whether it runs, or how it ended.
    [[nodiscard]] std::string describeEnd();
    [[nodiscard]] bool isRunning() const;
    [[nodiscard]] pid_t pid() const;
    /// Resident memory in bytes.
    [[nodiscard]] std::size_t residentBytes() const;
    /// Processor time used so far, in milliseconds.
    [[nodiscard]] std::int64_t cpuMs() const;

private:
    pid_t pid_ = -1;
    bool ended_ = false;
    int exitCode_ = -1;
};

/// Directory of the built binaries.
[[nodiscard]] std::string binaryDirectory();

} // namespace Wasabistair::StandIns
