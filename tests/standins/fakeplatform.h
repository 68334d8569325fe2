#pragma once

#include "httpserver.h"

#include <platform/objectstore.h>

#include <nlohmann/json_fwd.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

/// Small fakes of the systems around the product, for tests and the demo only.
namespace Wasabistair::StandIns {

/// Faults that the platform simulates.
struct PlatformFaults {
    /// Answers every call with status 503.
    bool down = false;
    /// Accepts connections and does not answer until the fault is cleared.
    bool silent = false;
    /// Delay of every answer, in milliseconds.
    int delayMs = 0;
    /// Number of writes that are executed and whose connection is then closed without an answer.
    int loseWriteAnswers = 0;
    /// Lag of the VM list: time in milliseconds between setVms() and the first call that receives the new list.
    int vmListLagMs = 0;
};

/// In-memory implementation of the platform's object API.
///
/// Other processes control it over HTTP: /control/faults and /control/vms set faults and VMs, /control/calls returns the call counts.
class FakePlatform
{
public:
    /// Binds to @p port on loopback; 0 picks a free port.
    explicit FakePlatform(std::uint16_t port = 0);
    ~FakePlatform();

    [[nodiscard]] std::uint16_t port() const;
    void setFaults(const PlatformFaults &faults);
    [[nodiscard]] PlatformFaults faults() const;
    void setVms(const std::vector<Steering::Vm> &vms);
    /// Number of calls so far by kind: get, put, remove, watch, list, vms.
    [[nodiscard]] std::map<std::string, std::uint64_t> calls() const;
    [[nodiscard]] std::map<std::string, Platform::VersionedValue> objects() const;
    /// Writes an object without a call, as if another client had written it.
    void putDirectly(const std::string &key, const std::string &value);

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    struct ListVersion {
        /// Monotonic time of setVms(), in milliseconds.
        std::int64_t since = 0;
        Platform::VmList list;
    };

    void handleControl(const std::string &path, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void handleObject(const std::string &key, const std::string &query, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void handleWrite(const std::string &key, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void handleList(const std::string &query, Poco::Net::HTTPServerResponse &response);
    void handleVms(const std::string &query, Poco::Net::HTTPServerResponse &response);
    void count(const std::string &kind);
    [[nodiscard]] bool isStopping() const;
    [[nodiscard]] Platform::VersionedValue awaitChange(const std::string &key, Platform::Version known, int timeoutMs);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    PlatformFaults faults_;
    std::map<std::string, Platform::VersionedValue> objects_;
    std::map<std::string, std::uint64_t> calls_;
    std::vector<ListVersion> lists_;
    Platform::Version nextVersion_ = 1;
    bool stopping_ = false;
    std::unique_ptr<HttpServer> server_;
};

} // namespace Wasabistair::StandIns
