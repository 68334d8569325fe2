#pragma once

#include <standins/fakeobjectstore.h>
#include <standins/scriptedupstream.h>

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

/// What the scripts of this review share: a small deployment of real entry VMs on loopback, a caller and the record.
namespace Wasabistair::Review {

/// Monotonic time in ms.
[[nodiscard]] std::int64_t nowMs();
void sleepMs(std::int64_t milliseconds);

/// Whether the script plays the disruption; false with TROUBLE=0.
[[nodiscard]] bool hasTrouble();

/// Exit codes of a script.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// Record of what was sent, answered and run, in the file that RECORD names. Thread-safe.
class Record
{
public:
    Record();
    /// Writes one line with the time since the start of the script.
    void write(const std::string &line);

private:
    std::mutex mutex_;
    std::ofstream file_;
    const std::int64_t startMs_;
};

/// Place and bounds of an entry VM.
struct VmPlan {
    std::string name;
    std::string zone;
    /// Region of each zone of the deployment.
    std::map<std::string, std::string> regionOfZone;
    /// Entries of the settings' list of bounds, as NAME=VALUE.
    std::vector<std::string> bounds;
    std::uint16_t storePort = 0;
};

/// One entry VM: its settings file and its process, started with the command of the deploy file.
class Vm
{
public:
    Vm(VmPlan plan, std::string directory);
    ~Vm();
    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    void start();
    void writeSettings(const std::vector<std::string> &bounds);
    void signal(int number) const;
    /// Whether the process has ended; collects its exit status.
    [[nodiscard]] bool hasEnded();
    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Status of the readiness check; 0 when there is no answer.
    [[nodiscard]] int readiness() const;
    /// Waits until the VM is ready; false after @p milliseconds.
    [[nodiscard]] bool awaitReady(std::int64_t milliseconds) const;

    [[nodiscard]] std::uint16_t callerPort() const;
    [[nodiscard]] std::uint16_t lookupPort() const;
    [[nodiscard]] const std::string &name() const;

private:
    const VmPlan plan_;
    const std::string directory_;
    std::uint16_t callerPort_ = 0;
    std::uint16_t readyPort_ = 0;
    std::uint16_t lookupPort_ = 0;
    std::uint16_t firstInnerPort_ = 0;
    pid_t pid_ = -1;
};

/// Temporary folder that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    [[nodiscard]] const std::string &path() const;

private:
    std::string path_;
};

/// What a caller saw of one request.
struct CallResult {
    /// Status of the complete answer; 0 when there was none.
    int status = 0;
    std::string head;
    std::string body;
    /// Whether a connection was established.
    bool connected = false;
    /// Whether all of the request was sent.
    bool sent = false;
    /// Whether the node ended the connection before the answer was complete.
    bool ended = false;
    /// When the last byte was sent and when the answer or the end of the connection came.
    std::int64_t sentAtMs = 0;
    std::int64_t endedAtMs = 0;

    [[nodiscard]] std::string header(const std::string &name) const;
};

/// Sends @p text on a new connection and waits up to @p waitMs for the complete answer.
[[nodiscard]] CallResult call(std::uint16_t port, const std::string &text, std::int64_t waitMs);

/// Text of a request with an id, a time budget and a body; @p extraHeaders are lines that end in CRLF.
[[nodiscard]] std::string requestText(const std::string &method, const std::string &path, const std::string &id, std::int64_t budgetMs, const std::string &body,
    const std::string &extraHeaders = "");

/// Caller ports in an answer of the directory at @p lookupPort, and how long they may be kept in ms; no ports when the look-up failed.
struct Directory {
    std::vector<std::uint16_t> ports;
    std::int64_t keepMs = 0;
};
[[nodiscard]] Directory lookUp(std::uint16_t lookupPort, const std::string &region, const std::string &zone);

/// Registration of a server of @p service.
[[nodiscard]] nlohmann::json serverEntry(std::uint16_t port, const std::string &service, const std::string &zone, int slots, const std::string &state);

} // namespace Wasabistair::Review
