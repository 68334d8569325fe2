#pragma once

#include <standins/childprocess.h>
#include <standins/fakeobjectstore.h>
#include <standins/scriptedupstream.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Wasabistair::Tests {

/// An answer as a caller receives it.
struct CallerAnswer {
    /// 0 when the connection ended without a complete answer head.
    int status = 0;
    std::string head;
    std::string body;
    /// Whether the body has the length that the head declares.
    bool whole = false;
};

/// Memory limit in kB of a VM whose settings state none.
constexpr long defaultVmMemoryKb = 256 * 1024;

/// One entry VM in its own process, with a stand-in of the store and two upstreams of one service.
struct EntryFixture {
    /// The VM's standard output is written to @p logFile; if that is empty, to a file in the directory of kept logs.
    explicit EntryFixture(std::string logFile = "", const StandIns::ProcessLimits &limits = {});
    ~EntryFixture();

    using Answer = StandIns::ScriptedAnswer;
    using Request = StandIns::ReceivedRequest;

    /// Sends a request on a new connection and reads its answer. May be called from several threads.
    [[nodiscard]] CallerAnswer send(const std::string &method, const std::string &path, const std::string &body = "", const std::string &headers = "") const;
    [[nodiscard]] CallerAnswer get(const std::string &path) const;
    /// Sends @p bytes unchanged, ends the sending side of the connection, and returns everything received.
    [[nodiscard]] std::string sendRaw(const std::string &bytes) const;
    [[nodiscard]] int readiness() const;
    [[nodiscard]] CallerAnswer lookup() const;
    /// Ends the VM's process with SIGKILL and starts it again on the same ports; waits until it is ready.
    void killAndRestartVm();
    /// Replaces the first occurrence of @p before in the VM's settings file.
    void changeSettings(const std::string &before, const std::string &after) const;
    /// Registers both upstreams, the first with @p firstState.
    void registerUpstreams(const std::string &firstState = "ready");
    /// Waits until @p condition holds; false after @p timeout.
    static bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds timeout = std::chrono::seconds(5));
    /// Number of requests that both upstreams received together.
    [[nodiscard]] std::size_t runs() const;
    /// Peak resident memory of the VM in kB; -1 when it can't be read.
    [[nodiscard]] long peakMemoryKb() const;

    /// Produces the answers of the upstreams; tests replace it. The first argument is the index of the upstream.
    std::function<Answer(int, const Request &)> script;
    StandIns::FakeObjectStore store;
    StandIns::ScriptedUpstream first;
    StandIns::ScriptedUpstream second;
    std::uint16_t callerPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t lookupPort = 0;
    std::string directory;
    std::string logFile;
    StandIns::ProcessLimits limits;
    std::unique_ptr<StandIns::ChildProcess> vm;

private:
    void startVm();
    void startProcess();
    [[nodiscard]] nlohmann::json manifest(int version) const;
};

} // namespace Wasabistair::Tests
