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
    std::string name;
    std::uint16_t port = 0;
    int slots = 4;
    int queue = 4;
    /// Time that a request occupies a slot unless its X-Service-Ms header says otherwise.
    double serviceMs = 5;
    /// Slots in use rise from one to all over this time after the start.
    int coldStartMs = 0;
    /// Cost of taking a new connection.
    int connectMs = 0;
};

/// One request as the server saw it.
struct RunRecord {
    std::string id;
    std::string method;
    /// Wall milliseconds at which it was taken into a slot, and at which it ended.
    std::int64_t start = 0;
    std::int64_t end = 0;
    /// False when the caller's side closed the connection before it ended.
    bool completed = false;
};

/// What a server has seen so far.
struct UpstreamStatistics {
    std::uint64_t ran = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t probes = 0;
    int peakRunning = 0;
    int peakQueued = 0;
    int peakConnections = 0;
};

/// An upstream with slots, a queue, shedding, draining, cancellation and deadlines, and a record of what it ran.
///
/// Headers of a request steer it: X-Request-Id names it in the record, X-Service-Ms sets its time,
/// X-Answer-Bytes the answer's size, X-Body-Bytes the size without which it is not run, and X-Fault one of
/// cut-body, cut-chunked, reset-before-answer, reset-after-run, silent, shed.
class FakeUpstream
{
public:
    explicit FakeUpstream(UpstreamSettings settings);
    ~FakeUpstream();

    [[nodiscard]] std::uint16_t port() const;
    void setLeaving(bool leaving);
    /// Health says nothing of leaving, and answers neither.
    void setHidesLeaving(bool hides);
    /// Every connection stays open and nothing is answered.
    void setSilent(bool silent);
    void setServiceMs(double milliseconds);
    /// Time until a closed connection is noticed, queued or running.
    void setCancelNoticeMs(int milliseconds);
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
    [[nodiscard]] bool serveFor(Poco::Net::HTTPServerRequest &request, double milliseconds);
    void reject(Poco::Net::HTTPServerResponse &response);
    void addState(Poco::Net::HTTPServerResponse &response) const;
    void answer(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::string &body, SlotGuard &slot);

    const UpstreamSettings settings_;
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
