#include "entryfixture.h"

#include <doctest/doctest.h>

#include <Poco/TemporaryFile.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <string>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

using namespace Wasabistair;
using Wasabistair::Tests::EntryFixture;

namespace {

constexpr int rejectedRequests = 300;
/// Limit documented in docs/OPERATIONS.md.
constexpr int failureLinesPerSecond = 20;

std::string temporaryName()
{
    return Poco::TemporaryFile::tempName();
}

/// A named pipe of the smallest capacity that the test keeps open and never reads.
class UnreadPipe
{
public:
    UnreadPipe()
        : path_(temporaryName())
    {
        ::mkfifo(path_.c_str(), 0600);
        descriptor_ = ::open(path_.c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
        ::fcntl(descriptor_, F_SETPIPE_SZ, 1);
    }
    ~UnreadPipe()
    {
        closeReader();
        std::remove(path_.c_str());
    }
    UnreadPipe(const UnreadPipe &) = delete;
    UnreadPipe &operator=(const UnreadPipe &) = delete;

    const std::string &path() const
    {
        return path_;
    }
    /// Whether a write of one byte would block.
    bool isFull() const
    {
        return ::write(descriptor_, "", 1) < 0;
    }
    void closeReader()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
            descriptor_ = -1;
        }
    }

private:
    std::string path_;
    int descriptor_ = -1;
};

struct PipeFixture {
    UnreadPipe pipe;
    EntryFixture entry{pipe.path()};
};

struct LogFileFixture {
    ~LogFileFixture()
    {
        std::remove(entry.logFile.c_str());
    }

    /// Number of log lines of @p event that contain @p part, and the sum of @p counter in these lines.
    std::pair<int, int> linesOf(const std::string &event, const std::string &counter = "", const std::string &part = "") const
    {
        std::ifstream file(entry.logFile);
        std::pair<int, int> result{0, 0};
        for (std::string line; std::getline(file, line);) {
            if (line.find(" event=" + event + " ") == std::string::npos || line.find(part) == std::string::npos) {
                continue;
            }
            ++result.first;
            const std::size_t at = counter.empty() ? std::string::npos : line.find(" " + counter + "=");
            result.second += at == std::string::npos ? 0 : std::stoi(line.substr(at + counter.size() + 2));
        }
        return result;
    }

    EntryFixture entry{temporaryName()};
};

/// Sends @p count requests that no route matches, each of which causes a log line; returns how many were rejected with 404.
int sendRejectedRequests(const EntryFixture &entry, int count)
{
    int rejected = 0;
    for (int i = 0; i < count; ++i) {
        rejected += entry.get("/nowhere").status == 404 ? 1 : 0;
    }
    return rejected;
}

} // namespace

TEST_CASE_FIXTURE(PipeFixture, "standardOutput_isFull_requestsAreServed")
{
    CHECK(sendRejectedRequests(entry, rejectedRequests) == rejectedRequests);
    REQUIRE(EntryFixture::eventually([this] { return pipe.isFull(); }));
    CHECK(sendRejectedRequests(entry, rejectedRequests) == rejectedRequests);
    CHECK(entry.get("/safe/a").status == 200);
    CHECK(entry.readiness() == 200);
}

TEST_CASE_FIXTURE(PipeFixture, "standardOutput_isClosed_requestsAreServed")
{
    pipe.closeReader();
    CHECK(sendRejectedRequests(entry, rejectedRequests) == rejectedRequests);
    CHECK(entry.get("/safe/a").status == 200);
    CHECK(entry.vm->isRunning());
}

TEST_CASE_FIXTURE(LogFileFixture, "failures_inAFlood_areLoggedWithinTheBudgetAndTheRestIsCounted")
{
    const auto started = std::chrono::steady_clock::now();
    CHECK(sendRejectedRequests(entry, rejectedRequests) == rejectedRequests);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - started).count();
    entry.vm->signal(SIGTERM);
    CHECK(entry.vm->waitFor(10'000) == 0);
    const int written = linesOf("request", "", " end=no-route ").first;
    const int omitted = linesOf("lines-left-out", "failures").second;
    // The limit applies to each clock second; the test spans at most two more of them than it lasts.
    CHECK(written <= failureLinesPerSecond * (static_cast<int>(seconds) + 2));
    CHECK(written + omitted >= rejectedRequests);
    CHECK(omitted > 0);
}

TEST_CASE_FIXTURE(LogFileFixture, "request_sentTwice_itsLineNamesBothTriesInOrder")
{
    entry.script = [](int, const EntryFixture::Request &request) {
        const std::string complete = StandIns::ScriptedUpstream::completeAnswer(request, 200, "a body that ends too soon");
        return EntryFixture::Answer{.bytes = complete.substr(0, complete.size() - 4), .closeAfter = true};
    };
    CHECK(entry.get("/safe/cut").status == 502);
    std::string attempts;
    CHECK(EntryFixture::eventually([&] {
        std::ifstream file(entry.logFile);
        for (std::string line; std::getline(file, line);) {
            const std::size_t at = line.find(" trail=");
            if (line.find(" status=502 ") != std::string::npos && at != std::string::npos) {
                attempts = line.substr(at + 7, line.find(' ', at + 1) - at - 7);
            }
        }
        return !attempts.empty();
    }));
    CHECK(attempts.find("u-1:broken:") != std::string::npos);
    CHECK(attempts.find("u-2:broken:") != std::string::npos);
    CHECK(attempts.find(',') != std::string::npos);
}

TEST_CASE_FIXTURE(LogFileFixture, "request_bodyIsNotWholeAtItsDeadline_itsLineNamesItAndTheCause")
{
    static_cast<void>(entry.send("POST", "/once/x", "", "X-Deadline-Ms: 300\r\nContent-Length: 100\r\n"));
    const std::string id = "request=request-";
    CHECK(EntryFixture::eventually([&] { return linesOf("request-unread", "", " cause=timed-out ").first == 1; }));
    CHECK(linesOf("request-unread", "", id).first == 1);
    CHECK(linesOf("request-unread", "status", id).second == 408);
}
