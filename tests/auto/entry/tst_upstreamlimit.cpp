#include "entryfixture.h"

#include <doctest/doctest.h>

#include <standins/platformobjects.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Tests;
using StandIns::ScriptedUpstream;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::int64_t windowMs = 4'000;
/// Answers that are passed on count from this time after.
constexpr std::int64_t graceMs = 500;

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

/// Longest time until the VM has read a changed registration.
constexpr std::chrono::milliseconds registryDelay{1'500};

/// Both upstreams answer at once with the header lines of statement(); arrivals are recorded. They are in one region, since the
/// traffic that may move to another region at once is limited.
struct LimitFixture: EntryFixture {
    LimitFixture()
    {
        store.put("servers", "u-2", StandIns::upstreamObject(second.port(), "a", "ready"));
        std::this_thread::sleep_for(registryDelay);
        script = [this](int index, const Request &request) {
            const std::string lines = statement(index);
            const std::lock_guard lock(mutex);
            arrivals.at(static_cast<std::size_t>(index)).push_back(nowMs());
            if (!lines.empty() && toldAt == 0) {
                toldAt = nowMs();
            }
            return Answer{ScriptedUpstream::completeAnswer(request, 200, "ok", lines)};
        };
    }

    [[nodiscard]] std::string statement(int index) const
    {
        const std::lock_guard lock(mutex);
        return statements.at(static_cast<std::size_t>(index));
    }

    void state(int index, const std::string &lines)
    {
        const std::lock_guard lock(mutex);
        statements.at(static_cast<std::size_t>(index)) = lines;
    }

    /// Sends safe requests with different keys, one every @p intervalMs, for @p durationMs; counts statuses and the longest rejection.
    void load(std::int64_t durationMs, int intervalMs)
    {
        const std::int64_t end = nowMs() + durationMs;
        for (int i = 0; nowMs() < end; ++i) {
            const std::int64_t begin = nowMs();
            const CallerAnswer answer = send("GET", "/safe/x", "", "X-Affinity-Key: " + std::to_string(i) + "\r\n");
            ++(answer.status == 200 ? served : answer.status == 503 ? rejected : others);
            if (answer.status == 503) {
                longestRejectionMs = std::max(longestRejectionMs, nowMs() - begin);
                withoutRetryAfter += answer.head.find("Retry-After: ") == std::string::npos ? 1 : 0;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(intervalMs));
        }
    }

    [[nodiscard]] std::size_t arrivalsSince(int index, std::int64_t since) const
    {
        const std::lock_guard lock(mutex);
        const auto &times = arrivals.at(static_cast<std::size_t>(index));
        return static_cast<std::size_t>(std::count_if(times.begin(), times.end(), [&](std::int64_t at) { return at >= since; }));
    }

    /// Most arrivals in any window of 4 s that begins after the upstream has named its limit.
    [[nodiscard]] std::size_t busiestWindow(int index) const
    {
        const std::lock_guard lock(mutex);
        const auto &times = arrivals.at(static_cast<std::size_t>(index));
        std::size_t most = 0;
        for (const std::int64_t begin : times) {
            if (begin >= toldAt + graceMs) {
                const auto inside = std::count_if(times.begin(), times.end(), [&](std::int64_t at) { return at >= begin && at < begin + windowMs; });
                most = std::max(most, static_cast<std::size_t>(inside));
            }
        }
        return most;
    }

    mutable std::mutex mutex;
    std::array<std::string, 2> statements;
    std::array<std::vector<std::int64_t>, 2> arrivals;
    std::int64_t toldAt = 0;
    int served = 0;
    int rejected = 0;
    int others = 0;
    int withoutRetryAfter = 0;
    std::int64_t longestRejectionMs = 0;
};

} // namespace

TEST_CASE_FIXTURE(LimitFixture, "upstreamLimit_isNamed_isKeptInEveryWindowAndTheOtherUpstreamServes")
{
    // Guards against an upstream in need that gets its usual share of requests although it named a limit in its answers.
    state(0, "Server-Limit: 2\r\n");
    load(7'000, 15);
    // 1.5 times 2 a second in 4 s, and 5 more.
    CHECK(busiestWindow(0) <= 17);
    CHECK(arrivalsSince(0, toldAt) >= 5);
    CHECK(others + rejected == 0);
}

TEST_CASE_FIXTURE(LimitFixture, "upstreamLimit_allUpstreamsAreLimited_restIsRejectedAtOnceWithRetryAfter")
{
    state(0, "Server-Limit: 0.5\r\n");
    state(1, "Server-Limit: 0.5\r\n");
    load(500, 10);
    rejected = 0;
    withoutRetryAfter = 0;
    longestRejectionMs = 0;
    load(4'500, 15);
    CHECK(busiestWindow(0) <= 8);
    CHECK(busiestWindow(1) <= 8);
    CHECK(rejected > served);
    CHECK(others == 0);
    CHECK(withoutRetryAfter == 0);
    CHECK(longestRejectionMs < 50);
}

TEST_CASE_FIXTURE(LimitFixture, "upstreamLimit_isRaisedAndEnds_isFollowedSoon")
{
    state(0, "Server-Limit: 1\r\n");
    load(2'000, 15);
    state(0, "Server-Limit: 1000\r\n");
    load(2'500, 15);
    std::int64_t since = nowMs();
    load(1'500, 15);
    CHECK(arrivalsSince(0, since) > 15);
    state(0, "Server-Limit: 1\r\n");
    load(2'000, 15);
    state(0, "");
    load(2'500, 15);
    since = nowMs();
    load(1'500, 15);
    CHECK(arrivalsSince(0, since) > 15);
    CHECK(others + rejected == 0);
}

TEST_CASE_FIXTURE(LimitFixture, "upstreamLimit_isUnreadable_upstreamIsUsedAsBefore")
{
    for (const char *value : {"", "abc", "-1", "nan", "inf", "1e999", "2 requests", "0x10", "1,5"}) {
        CAPTURE(value);
        state(0, std::string("Server-Limit: ") + value + "\r\n");
        const std::int64_t since = nowMs();
        load(700, 10);
        CHECK(arrivalsSince(0, since) > 5);
    }
    CHECK(others + rejected == 0);
    CHECK(readiness() == 200);
}
