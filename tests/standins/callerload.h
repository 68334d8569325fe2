#pragma once

#include <base/settings.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Wasabistair::StandIns {

/// One request as a caller makes it.
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
    /// The upstream's whole answer arrived.
    Answered,
    /// Refused, and said not to have been run.
    NotRun,
    /// Refused or failed, outcome unknown.
    Unknown,
    /// The answer was visibly cut.
    Cut,
    /// No connection, or it ended without an answer.
    NoAnswer,
    /// A whole answer, but not to this request: never allowed.
    WrongAnswer,
};

[[nodiscard]] std::string resultName(CallerResult result);

/// What the caller got.
struct CallerRecord {
    std::string id;
    std::string method;
    CallerResult result = CallerResult::NoAnswer;
    int status = 0;
    std::string server;
    std::string problem;
    std::string body;
    /// From sending to the end of the answer.
    std::int64_t latencyUs = 0;
    /// From the time at which an open loop had it begin to its sending.
    std::int64_t lateUs = 0;
};

/// Keeps one connection to one entry VM.
class CallerConnectionClient
{
public:
    CallerConnectionClient(const Base::HostPort &address, int timeoutMs);
    ~CallerConnectionClient();

    [[nodiscard]] CallerRecord call(const CallerRequest &request);

private:
    class Internals;
    std::unique_ptr<Internals> internals_;
};

/// Load of many callers, each with a connection and a thread of its own.
struct LoadPlan {
    std::vector<Base::HostPort> entries;
    std::string host;
    std::string path = "/";
    int callers = 8;
    int durationMs = 1'000;
    /// Each caller waits this long between requests.
    int pauseMs = 0;
    /// All callers together begin so many requests a second, at fixed times whatever came of earlier ones
    /// (open loop). 0: each caller sends as soon as it was answered.
    double ratePerSecond = 0;
    /// Share of POST requests, in percent.
    int postPercent = 0;
    std::size_t postBytes = 200;
    int timeoutMs = 20'000;
    std::string idPrefix = "r";
    std::vector<std::pair<std::string, std::string>> headers;
};

[[nodiscard]] std::vector<CallerRecord> runLoad(const LoadPlan &plan);

enum class LatencyFrom {
    /// Time at which the caller was to begin: what a caller sees.
    Schedule,
    /// Time at which it sent: what the system took.
    Sending,
};

/// Latency quantile in microseconds over the records with @p result.
[[nodiscard]] std::int64_t latencyQuantile(const std::vector<CallerRecord> &records, CallerResult result, double q, LatencyFrom from = LatencyFrom::Schedule);
[[nodiscard]] std::map<std::string, std::size_t> countResults(const std::vector<CallerRecord> &records);

} // namespace Wasabistair::StandIns
