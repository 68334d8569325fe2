#include "callerload.h"

#include <base/clock.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <mutex>
#include <random>
#include <thread>

namespace Wasabistair::StandIns {

namespace {

constexpr int percent = 100;

std::string makeBody(std::size_t size)
{
    std::string body(size, 'b');
    return body;
}

} // namespace

class CallerClient::Internals
{
public:
    Internals(const Base::HostPort &address, int timeoutMs)
        : session_(address.host, address.port)
    {
        session_.setKeepAlive(true);
        session_.setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(timeoutMs) * Poco::Timespan::MILLISECONDS));
    }

    CallerRecord call(const CallerRequest &callerRequest)
    {
        CallerRecord record;
        record.id = callerRequest.id;
        record.method = callerRequest.method;
        const std::int64_t start = Base::monotonicMicroseconds();
        bool sent = false;
        try {
            send(callerRequest);
            sent = true;
            receive(record);
        } catch (const Poco::Exception &) {
            session_.reset();
            record.result = sent ? CallerResult::OutcomeUnknown : CallerResult::NoAnswer;
        }
        record.latencyUs = Base::monotonicMicroseconds() - start;
        return record;
    }

private:
    void send(const CallerRequest &callerRequest)
    {
        Poco::Net::HTTPRequest request(callerRequest.method, callerRequest.path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setHost(callerRequest.host);
        request.set("X-Request-Id", callerRequest.id);
        for (const auto &[name, value] : callerRequest.headers) {
            request.set(name, value);
        }
        if (callerRequest.chunked) {
            request.setChunkedTransferEncoding(true);
        } else if (callerRequest.bodyBytes > 0 || callerRequest.method == "POST") {
            request.setContentLength(static_cast<std::streamsize>(callerRequest.bodyBytes));
        }
        if (callerRequest.bodyBytes > 0) {
            request.set("X-Body-Bytes", std::to_string(callerRequest.bodyBytes));
        }
        std::ostream &out = session_.sendRequest(request);
        out << makeBody(callerRequest.bodyBytes) << std::flush;
    }

    void receive(CallerRecord &record)
    {
        Poco::Net::HTTPResponse response;
        std::istream &in = session_.receiveResponse(response);
        record.body.assign(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
        record.status = response.getStatus();
        record.server = response.get("X-Server", "");
        const bool truncated = response.hasContentLength() && record.body.size() != static_cast<std::size_t>(response.getContentLength());
        if (truncated) {
            session_.reset();
            record.result = CallerResult::Truncated;
        } else if (response.has("Wasabistair-Run")) {
            record.result = response.get("Wasabistair-Run") == "not-run" ? CallerResult::NotExecuted : CallerResult::OutcomeUnknown;
            record.problem = nlohmann::json::parse(record.body, nullptr, false).value("type", "");
        } else {
            const bool matchesRequest
                = response.get("X-Request-Id", record.id) == record.id && (!record.body.starts_with("id=") || record.body.starts_with("id=" + record.id + ";"));
            record.result = matchesRequest ? CallerResult::Answered : CallerResult::WrongAnswer;
        }
    }

    Poco::Net::HTTPClientSession session_;
};

CallerClient::CallerClient(const Base::HostPort &address, int timeoutMs)
    : internals_(std::make_unique<Internals>(address, timeoutMs))
{}

CallerClient::~CallerClient() = default;

CallerRecord CallerClient::call(const CallerRequest &request)
{
    return internals_->call(request);
}

std::string resultName(CallerResult result)
{
    static const std::vector<std::string> names = {"answered", "not-run", "unknown", "cut", "no-answer", "wrong-answer"};
    return names.at(static_cast<std::size_t>(result));
}

namespace {

using Time = std::chrono::steady_clock::time_point;

/// Times at which the requests of one caller are due.
class Schedule
{
public:
    Schedule(const LoadPlan &plan, int caller, Time start)
        : plan_(plan)
        , interval_(plan.ratePerSecond > 0 ? plan.callers / plan.ratePerSecond : 0)
        , next_(start + seconds(interval_ * caller / plan.callers))
    {}

    /// Waits until the next request of an open loop is due; returns the delay in microseconds with which the wait ended.
    std::int64_t waitForNext()
    {
        if (interval_ <= 0) {
            return 0;
        }
        std::this_thread::sleep_until(next_);
        const auto late = std::chrono::steady_clock::now() - next_;
        next_ += seconds(interval_);
        return std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(late).count());
    }

    /// Waits between two requests: for the plan's pause, and for at least 1 ms after a request that could not be sent.
    void pause(CallerResult last) const
    {
        if (plan_.pauseMs > 0 || last == CallerResult::NoAnswer) {
            std::this_thread::sleep_for(std::chrono::milliseconds(std::max(1, plan_.pauseMs)));
        }
    }

private:
    static std::chrono::steady_clock::duration seconds(double value)
    {
        return std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(value));
    }

    const LoadPlan &plan_;
    const double interval_;
    Time next_;
};

} // namespace

std::vector<CallerRecord> runLoad(const LoadPlan &plan)
{
    std::vector<CallerRecord> all;
    std::mutex mutex;
    std::vector<std::thread> threads;
    const Time start = std::chrono::steady_clock::now();
    const Time end = start + std::chrono::milliseconds(plan.durationMs);
    for (int caller = 0; caller < plan.callers; ++caller) {
        threads.emplace_back([&, caller] {
            std::mt19937 random(static_cast<unsigned>(caller));
            std::vector<CallerRecord> records;
            CallerClient client(plan.entries[static_cast<std::size_t>(caller) % plan.entries.size()], plan.timeoutMs);
            Schedule schedule(plan, caller, start);
            for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
                const std::int64_t lateUs = schedule.waitForNext();
                CallerRequest request;
                request.id = plan.idPrefix + std::to_string(caller) + "-" + std::to_string(i);
                request.host = plan.host;
                request.path = plan.path;
                request.headers = plan.headers;
                if (static_cast<int>(random() % percent) < plan.postPercent) {
                    request.method = "POST";
                    request.bodyBytes = plan.postBytes;
                }
                records.push_back(client.call(request));
                records.back().body.clear();
                records.back().lateUs = lateUs;
                schedule.pause(records.back().result);
            }
            const std::lock_guard lock(mutex);
            all.insert(all.end(), records.begin(), records.end());
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return all;
}

std::int64_t latencyQuantile(const std::vector<CallerRecord> &records, CallerResult result, double q, LatencyFrom from)
{
    std::vector<std::int64_t> latencies;
    for (const CallerRecord &record : records) {
        if (record.result == result) {
            latencies.push_back(record.latencyUs + (from == LatencyFrom::Schedule ? record.lateUs : 0));
        }
    }
    if (latencies.empty()) {
        return 0;
    }
    std::sort(latencies.begin(), latencies.end());
    return latencies[static_cast<std::size_t>(q * static_cast<double>(latencies.size() - 1))];
}

std::map<std::string, std::size_t> countResults(const std::vector<CallerRecord> &records)
{
    std::map<std::string, std::size_t> counts;
    for (const CallerRecord &record : records) {
        ++counts[resultName(record.result)];
    }
    return counts;
}

} // namespace Wasabistair::StandIns
