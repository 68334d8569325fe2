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

/// Small fakes of the systems around the product; for tests and the demo only.
namespace Wasabistair::StandIns {

/// How the platform misbehaves.
struct PlatformFaults {
    /// Refuses every call.
    bool down = false;
    /// Accepts connections and never answers.
    bool silent = false;
    /// Delays every answer, in milliseconds.
    int delayMs = 0;
    /// Closes the connection instead of answering, after the effect, for this many writes.
    int loseWriteAnswers = 0;
    /// The list of VMs is shown this much later than it was set, in milliseconds.
    int listLagMs = 0;
};

/// The platform's object API in memory.
class FakePlatform
{
public:
    /// Binds to @p port on loopback; 0 picks one.
    explicit FakePlatform(std::uint16_t port = 0);
    ~FakePlatform();

    [[nodiscard]] std::uint16_t port() const;
    void setFaults(const PlatformFaults &faults);
    [[nodiscard]] PlatformFaults faults() const;
    void setVms(const std::vector<Steering::Vm> &vms);
    /// Calls so far by kind: get, put, remove, watch, list, vms.
    [[nodiscard]] std::map<std::string, std::uint64_t> calls() const;
    [[nodiscard]] std::map<std::string, Platform::VersionedValue> objects() const;
    /// Writes an object as another client would.
    void putDirectly(const std::string &key, const std::string &value);

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    struct ListVersion {
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
