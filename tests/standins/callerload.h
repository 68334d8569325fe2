#pragma once

#include <base/settings.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Wasabistair::StandIns {

/// One request of a caller.
struct CallerRequest {
    std::string id;
    std::string method = "GET";
    std::string host;
    std::string path = "/";
    std::size_t bodyBytes = 0;
    bool chunked = false;
    std::vector<std::pair<std::string, std::string>> headers;
};

enum class CallerResult {
    /// The upstream's complete answer arrived.
    Answered,
    /// Rejected with the statement that the request did not run.
    NotExecuted,
    /// Rejected, failed or without an answer; the request may have run.
    OutcomeUnknown,
    /// The answer was shorter than its Content-Length.
    Truncated,
    /// The request could not be sent completely.
    NoAnswer,
    /// A complete answer to another request. This must never happen.
    WrongAnswer,
};

/// Name of a result in callerloadd's output.
[[nodiscard]] std::string resultName(CallerResult result);

/// Outcome of one request as the caller received it.
struct CallerRecord {
    std::string id;
    std::string method;
    CallerResult result = CallerResult::NoAnswer;
    int status = 0;
    /// X-Server header of the answer.
    std::string server;
    /// Problem type (URN) of a rejection.
    std::string problem;
    std::string body;
    /// Time from sending the request to the end of the answer.
    std::int64_t latencyUs = 0;
    /// Delay of the sending against the schedule of an open loop; 0 in a closed loop.
    std::int64_t lateUs = 0;
};

/// HTTP client with one keep-alive connection to one entry VM.
class CallerClient
{
public:
    CallerClient(const Base::HostPort &address, int timeoutMs);
    ~CallerClient();

    [[nodiscard]] CallerRecord call(const CallerRequest &request);

private:
    class Internals;
    std::unique_ptr<Internals> internals_;
};

/// Load of several callers. Each has its own thread and its own connection to one of the entry VMs.
struct LoadPlan {
    std::vector<Base::HostPort> entries;
    std::string host;
    std::string path = "/";
    int callers = 8;
    int durationMs = 1'000;
    /// Pause of each caller between two requests, in milliseconds.
    int pauseMs = 0;
    /// Rate of all callers together. Requests are due at fixed times, whatever the outcome of earlier ones (open loop).
    /// 0: each caller sends its next request after the answer to the last one (closed loop).
    double ratePerSecond = 0;
    /// Share of POST requests, in percent.
    int postPercent = 0;
    std::size_t postBytes = 200;
    int timeoutMs = 20'000;
    std::string idPrefix = "r";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Runs the load and returns the records of all callers, without the bodies of the answers.
[[nodiscard]] std::vector<CallerRecord> runLoad(const LoadPlan &plan);

/// Start of a latency measurement.
enum class LatencyFrom {
    /// The time at which the request was due; includes the caller's own delay in sending it.
    Schedule,
    /// The time at which the request was sent.
    Sending,
};

/// Quantile @p q (0 to 1) of the latencies of all records with @p result, in microseconds; 0 if there are none.
[[nodiscard]] std::int64_t latencyQuantile(const std::vector<CallerRecord> &records, CallerResult result, double q, LatencyFrom from = LatencyFrom::Schedule);
/// Number of records by resultName().
[[nodiscard]] std::map<std::string, std::size_t> countResults(const std::vector<CallerRecord> &records);

} // namespace Wasabistair::StandIns
