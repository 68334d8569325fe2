#include "soakupstream.h"

#include <base/clock.h>

namespace Wasabistair::Soak {

namespace {

using StandIns::ReceivedRequest;
using StandIns::ScriptedAnswer;
using StandIns::ScriptedUpstream;

constexpr int serviceMs = 25;
// While an upstream fails, sheds load or truncates answers, it does so for two of three requests.
constexpr unsigned faultCycle = 3;
constexpr std::size_t truncatedBytes = 5;
// Pause that a rejection asks for, and the limit that an upstream in need states.
constexpr std::int64_t pauseMs = 1'500;
constexpr auto pauseSeconds = "1.5";
constexpr double requestsPerSecond = 3;

std::string headerLines(const Statement &stated)
{
    return (stated.leaving ? std::string("Server-Leaving: 1\r\n") : "")
        + (stated.pauseMs > 0 ? std::string("X-Not-Executed: 1\r\nRetry-After: ") + pauseSeconds + "\r\n" : "")
        + (stated.limit > 0 ? "Server-Limit: " + std::to_string(stated.limit) + "\r\n" : "");
}

} // namespace

SoakUpstream::SoakUpstream(std::string name, std::string zone)
    : zone_(std::move(zone))
    , name_(std::move(name))
    , upstream_([this](const ReceivedRequest &request) { return answer(request); })
    , relay_(upstream_.port())
{}

std::uint16_t SoakUpstream::port() const
{
    return relay_.port();
}

std::string SoakUpstream::name() const
{
    const std::lock_guard lock(mutex_);
    return name_;
}

const std::string &SoakUpstream::zone() const
{
    return zone_;
}

void SoakUpstream::rename(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    name_ = name;
}

std::vector<Execution> SoakUpstream::executions() const
{
    const std::lock_guard lock(mutex_);
    return executions_;
}

std::vector<Arrival> SoakUpstream::arrivals() const
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

StandIns::TcpRelay &SoakUpstream::relay()
{
    return relay_;
}

ScriptedAnswer SoakUpstream::answer(const ReceivedRequest &request)
{
    const std::string target = request.header("X-Target-Instance");
    if (target != name()) {
        return {ScriptedUpstream::completeAnswer(request, 421, "another instance")};
    }
    const bool faulty = requestCount_.fetch_add(1) % faultCycle != 0;
    const bool rejects = faulty && sheddingFaults > 0;
    const Statement stated{leaving, rejects ? pauseMs : 0, limitFaults > 0 ? requestsPerSecond : 0};
    const std::string lines = headerLines(stated);
    const std::string id = request.header("X-Request-Id");
    {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back({id, target, Base::monotonicMicroseconds() / 1'000, stated});
        if (!rejects) {
            executions_.push_back({id, target, arrivals_.back().atMs});
        }
    }
    if (rejects) {
        return {ScriptedUpstream::completeAnswer(request, 503, "full", lines)};
    }
    if (faulty && failureFaults > 0) {
        return {ScriptedUpstream::completeAnswer(request, 500, "failed", lines)};
    }
    const std::string whole = ScriptedUpstream::completeAnswer(request, 200, "id=" + id + "; body of " + std::to_string(request.body.size()), lines);
    if (faulty && truncationFaults > 0) {
        return {.bytes = whole.substr(0, whole.size() - truncatedBytes), .delayMs = serviceMs, .resetAfter = true};
    }
    return {.bytes = whole, .delayMs = serviceMs};
}

} // namespace Wasabistair::Soak
