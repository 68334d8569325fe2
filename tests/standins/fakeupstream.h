#pragma once

#include "httpserver.h"

#include <nlohmann/json_fwd.hpp>

#include <atomic>
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

namespace Wasabistair::StandIns {

struct UpstreamSettings {
    /// Sent in the X-Server header of every answer.
    std::string name;
    /// Loopback port; 0 picks a free one.
    std::uint16_t port = 0;
    /// Requests that run at the same time, and requests that may wait for a slot.
    int slots = 4;
    int queue = 4;
    /// Time in milliseconds for which a request occupies its slot, unless its X-Service-Ms header sets another.
    double serviceMs = 5;
    /// Warm-up time in milliseconds: the usable slots rise from one to all of them over this time after the start.
    int coldStartMs = 0;
    /// Time that accepting a connection takes, in milliseconds. Not implemented: the value has no effect.
    int connectMs = 0;
};

/// One request that the upstream ran.
struct RunRecord {
    std::string id;
    std::string method;
    /// Wall-clock times in milliseconds at which the request started to run and ended.
    std::int64_t start = 0;
    std::int64_t end = 0;
    /// False if the client closed the connection before the request ended.
    bool completed = false;
};

/// Counters of an upstream since its start.
struct UpstreamStatistics {
    std::uint64_t ran = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t probes = 0;
    int peakRunning = 0;
    int peakQueued = 0;
    int peakConnections = 0;
};

/// Upstream with slots, a queue, load shedding, draining, cancellation and deadlines. It records every request that it ran.
///
/// Request headers control it: X-Request-Id is the id in the record, X-Service-Ms the time that the request runs, X-Answer-Bytes
/// the size of the answer, and X-Chunked asks for a chunked answer. A request whose body is not of the size in X-Body-Bytes is not run.
/// X-Fault is one of cut-body, cut-chunked, reset-before-answer, reset-after-run, silent, shed.
class FakeUpstream
{
public:
    explicit FakeUpstream(UpstreamSettings settings);
    ~FakeUpstream();

    [[nodiscard]] std::uint16_t port() const;
    /// Sends "Upstream-State: leaving" with every answer, as an upstream does that drains before it stops.
    void setLeaving(bool leaving);
    /// Omits the leaving state from health checks and answers.
    void setHidesLeaving(bool hides);
    /// Keeps every connection open and answers nothing.
    void setUnresponsive(bool unresponsive);
    void setServiceMs(double milliseconds);
    /// Time in milliseconds until the upstream detects that the client closed the connection of a queued or running request.
    void setCancelDetectionMs(int milliseconds);
    [[nodiscard]] std::vector<RunRecord> record() const;
    [[nodiscard]] UpstreamStatistics statistics() const;

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

private:
    class SlotGuard;

    enum class Admission {
        Admitted,
        Shed,
        Cancelled,
    };

    Admission acquireSlot(Poco::Net::HTTPServerRequest &request, std::int64_t deadlineMs);
    Admission waitForSlot(std::unique_lock<std::mutex> &lock, Poco::Net::HTTPServerRequest &request, std::int64_t deadlineMs);
    void releaseSlot();
    [[nodiscard]] int usableSlots() const;
    void run(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::string &body, SlotGuard &slot);
    /// Simulates the work of a request; false if the client closed the connection before the end.
    [[nodiscard]] bool serveFor(Poco::Net::HTTPServerRequest &request, double milliseconds);
    void reject(Poco::Net::HTTPServerResponse &response);
    void addStateHeader(Poco::Net::HTTPServerResponse &response) const;
    void answer(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::string &body, SlotGuard &slot);

    const UpstreamSettings settings_;
    /// Monotonic time of the start, in milliseconds.
    const std::int64_t startedAt_;
    std::atomic<bool> leaving_{false};
    std::atomic<bool> hidesLeaving_{false};
    std::atomic<bool> unresponsive_{false};
    std::atomic<double> serviceMs_;
    std::atomic<int> cancelDetectionMs_{5};
    mutable std::mutex mutex_;
    std::condition_variable slotFreed_;
    int running_ = 0;
    int queued_ = 0;
    UpstreamStatistics statistics_;
    std::vector<RunRecord> runRecords_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace Wasabistair::StandIns
