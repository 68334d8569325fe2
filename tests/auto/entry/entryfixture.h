#pragma once

#include <standins/childprocess.h>
#include <standins/objectstorestandin.h>
#include <standins/scriptedupstream.h>

#include <memory>
#include <string>
#include <vector>

namespace Wasabistair::Tests {

/// A caller's view of an answer.
struct CallerAnswer {
    /// 0 when the connection ended without one.
    int status = 0;
    std::string head;
    std::string body;
    bool whole = false;
};

/// Memory in kB of a VM whose settings name none.
constexpr long vmMemoryKb = 256 * 1024;

/// One entry VM as a process of its own, with a store and two upstreams of one service.
struct EntryFixture {
    /// The VM's standard output goes to @p logFile, if empty to a file among the kept logs.
    explicit EntryFixture(std::string logFile = "");
    ~EntryFixture();

    using Answer = StandIns::ScriptedAnswer;
    using Request = StandIns::ReceivedRequest;

    /// Sends a request on a new connection and reads its answer.
    [[nodiscard]] CallerAnswer send(const std::string &method, const std::string &path, const std::string &body = "", const std::string &headers = "") const;
    [[nodiscard]] CallerAnswer get(const std::string &path) const;
    /// Sends bytes as they are, ends its side of the connection, and returns all that came back.
    [[nodiscard]] std::string sendRaw(const std::string &bytes) const;
    [[nodiscard]] int readiness() const;
    [[nodiscard]] CallerAnswer lookup() const;
    /// Registers both upstreams; @p state of the first one.
    void registerUpstreams(const std::string &firstState = "ready");
    /// Waits until @p condition holds; false after five seconds.
    static bool eventually(const std::function<bool()> &condition);
    [[nodiscard]] std::size_t runs() const;
    /// Resident memory of the VM in kB, at its highest; -1 when it can't be read.
    [[nodiscard]] long peakMemoryKb() const;

    /// What the upstreams do; replaced by tests. Called with the index of the upstream.
    std::function<Answer(int, const Request &)> script;
    StandIns::ObjectStoreStandIn store;
    StandIns::ScriptedUpstream first;
    StandIns::ScriptedUpstream second;
    std::uint16_t callerPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t lookupPort = 0;
    std::string directory;
    std::string logFile;
    std::unique_ptr<StandIns::ChildProcess> vm;

private:
    void start();
    [[nodiscard]] nlohmann::json manifest(int version) const;
};

} // namespace Wasabistair::Tests
