#include "forwarder.h"

#include <base/log.h>

#include <Poco/Exception.h>
#include <Poco/Thread.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Wasabistair::Callers {

namespace {

using Upstreams::Exchange;
using Upstreams::TryResult;

constexpr std::size_t copyBytes = 32 * 1024;
constexpr Base::MonotonicMs shedPauseMs = 100;
constexpr Base::MonotonicMs connectFailurePauseMs = 1'000;
constexpr Base::MonotonicMs silencePauseMs = 500;
constexpr Base::MonotonicMs leavingHoldMs = 10'000;
constexpr std::int64_t memoryCheckMs = 20;

/// Whether a further try puts load on an upstream that a first try already had.
enum class RetryCost {
    /// Nothing was sent before: no budget is needed.
    Free,
    Budget,
};

std::int64_t deadlineMs(const CallerExchange &exchange, const Steering::Service &service)
{
    const std::string given = exchange.request().get(Http::deadlineHeader, "");
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(given.data(), given.data() + given.size(), value);
    const bool usable = !given.empty() && error == std::errc{} && end == given.data() + given.size() && value > 0;
    return usable ? std::min(value, service.deadlineMs) : service.deadlineMs;
}

/// Gives an occupied unit back, whatever happens: at once, or later if the server may still be at work.
class RouteHold
{
public:
    RouteHold(Router &router, const Route &route)
        : router_(router)
        , route_(route)
    {}
    ~RouteHold()
    {
        if (holdMs_ > 0) {
            router_.releaseAfter(route_, holdMs_);
        } else {
            router_.release(route_);
        }
    }
    RouteHold(const RouteHold &) = delete;
    RouteHold &operator=(const RouteHold &) = delete;

    void setHoldMs(std::int64_t holdMs)
    {
        holdMs_ = holdMs;
    }

private:
    Router &router_;
    const Route &route_;
    std::int64_t holdMs_ = 0;
};

/// Gives a connection back to its pool; closed unless marked reusable.
class ConnectionHold
{
public:
    ConnectionHold(Upstreams::ConnectionPool &pool, const std::string &server, std::unique_ptr<Upstreams::UpstreamSession> session)
        : pool_(pool)
        , server_(server)
        , session_(std::move(session))
    {}
    ~ConnectionHold()
    {
        pool_.release(server_, std::move(session_), reusable_);
    }
    ConnectionHold(const ConnectionHold &) = delete;
    ConnectionHold &operator=(const ConnectionHold &) = delete;

    [[nodiscard]] Upstreams::UpstreamSession &session() const
    {
        return *session_;
    }
    void setReusable(bool reusable)
    {
        reusable_ = reusable;
    }

private:
    Upstreams::ConnectionPool &pool_;
    const std::string &server_;
    std::unique_ptr<Upstreams::UpstreamSession> session_;
    bool reusable_ = false;
};

/// One request on its way: tries, their outcomes and the answer.
class Forwarding
{
public:
    Forwarding(CallerExchange &exchange, const ServiceMatch &match, Router &router, Upstreams::ConnectionPool &pool, const Base::Clock &clock,
        const ForwarderLimits &limits, BufferBudget &budget, StreamCounter &streams)
        : exchange_(exchange)
        , service_(*match.service)
        , retryBudget_(*match.retryBudget)
        , router_(router)
        , pool_(pool)
        , clock_(clock)
        , limits_(limits)
        , budget_(budget)
        , streams_(streams)
        , startUs_(Base::monotonicMicroseconds())
        , idempotent_(Steering::isIdempotent(service_, exchange.request().getMethod(), exchange.request().getURI()))
    {}

    ~Forwarding()
    {
        if (streaming_) {
            streams_.leave(service_.name);
        }
    }
    Forwarding(const Forwarding &) = delete;
    Forwarding &operator=(const Forwarding &) = delete;

    void run()
    {
        if (exchange_.framing().length > service_.maxBodyBytes) {
            refuse({ProblemKind::BodyTooLarge, RunState::NotRun});
            return;
        }
        // Time that the caller takes for its body does not count against the upstream's deadline.
        exchange_.limitBody(service_.progressTimeoutMs, clock_.monotonic() + limits_.bodyTimeoutMs);
        BufferedBody body(exchange_, budget_, service_.maxBodyBytes);
        if (!takeBody(body)) {
            refuse({ProblemKind::NoHeadroom, RunState::NotRun});
            return;
        }
        if (body.isBroken()) {
            refuseBrokenBody(RunState::NotRun);
            return;
        }
        if (body.exceedsLimit()) {
            refuse({ProblemKind::BodyTooLarge, RunState::NotRun});
            return;
        }
        deadline_ = clock_.monotonic() + deadlineMs(exchange_, service_);
        retryBudget_.countFirstTry(service_.retryPercent);
        for (std::int64_t attempt = 1; !attemptOnce(body, attempt); ++attempt) {
            body.rewind();
        }
    }

private:
    /// Reads the body into memory, or as much of it as there is room for and then enters the streams.
    /// False when neither memory nor a stream became free in time.
    bool takeBody(BufferedBody &body)
    {
        const Base::MonotonicMs end = clock_.monotonic() + service_.progressTimeoutMs;
        while (true) {
            body.readAhead();
            if (body.isWhole() || body.isBroken() || body.exceedsLimit()) {
                return true;
            }
            streaming_ = streams_.tryEnter(service_.name, router_.maxStreams(service_.name));
            if (streaming_) {
                return true;
            }
            if (clock_.monotonic() >= end) {
                return false;
            }
            Poco::Thread::sleep(memoryCheckMs);
        }
    }

    /// Makes one try. Returns true when the caller was answered (or is gone).
    bool attemptOnce(BufferedBody &body, std::int64_t attempt)
    {
        const Base::MonotonicMs wait = std::min(service_.queueWaitMs, deadline_ - clock_.monotonic());
        auto acquired = router_.acquire(service_.name, excluded_, wait);
        if (const auto *refusal = std::get_if<Steering::Refusal>(&acquired)) {
            refuseWithoutRoute(*refusal);
            return true;
        }
        const Route route = std::get<Route>(std::move(acquired));
        RouteHold hold(router_, route);
        return tryRoute(route, hold, body, attempt);
    }

    void refuseWithoutRoute(Steering::Refusal refusal)
    {
        if (lastFailure_) {
            refuse(*lastFailure_);
            return;
        }
        switch (refusal) {
        case Steering::Refusal::NoPlace:
            refuse({ProblemKind::NoPlace, RunState::NotRun});
            return;
        case Steering::Refusal::NoSlot:
            refuse({ProblemKind::NotReady, RunState::NotRun});
            return;
        case Steering::Refusal::NoHeadroom:
            refuse({ProblemKind::NoHeadroom, RunState::NotRun});
            return;
        }
    }

    bool tryRoute(const Route &route, RouteHold &unit, BufferedBody &body, std::int64_t attempt)
    {
        place_ = route.place;
        const bool mayReuse = idempotent_ && !silenceSeen_;
        const auto use = mayReuse ? Upstreams::ConnectionUse::ReuseIdle : Upstreams::ConnectionUse::Fresh;
        auto connection = pool_.acquire(route.server.id, {route.server.host, route.server.port}, use, route.connections);
        if (!connection.session) {
            route.load->observeFailure(clock_.monotonic(), connectFailurePauseMs);
            return again(route, attempt, {ProblemKind::UpstreamUnreachable, RunState::NotRun}, true, RetryCost::Free);
        }
        ConnectionHold hold(pool_, route.server.id, std::move(connection.session));
        // The process may have been paused since the decision: everything is checked again right here.
        if (clock_.monotonic() >= deadline_) {
            hold.setReusable(true);
            refuse({ProblemKind::DeadlineBeforeSend, RunState::NotRun});
            return true;
        }
        if (!router_.mayStillSend(route)) {
            hold.setReusable(true);
            return again(route, attempt, {ProblemKind::NoHeadroom, RunState::NotRun}, true, RetryCost::Free);
        }
        // An idle connection may have fallen silent for good while the server is well; a slow server is
        // not told from that, so the next try costs retry budget.
        const std::int64_t firstByteMs = connection.reused ? service_.progressTimeoutMs : INT64_MAX;
        reused_ = connection.reused;
        Exchange exchange(hold.session(), clock_, {deadline_, service_.progressTimeoutMs, firstByteMs}, hooks(route));
        const TryResult result = exchange.run(outgoing(), body);
        const bool answered = handle(result, exchange, route, body, attempt);
        if (!exchange.isOver()) {
            // A closed connection cancels the request, but the server needs time to notice.
            unit.setHoldMs(service_.cancelMs);
        }
        hold.setReusable((result == TryResult::Answered || result == TryResult::Refused) && exchange.isReusable());
        return answered;
    }

    Upstreams::TryHooks hooks(const Route &route)
    {
        Upstreams::TryHooks hooks;
        hooks.callerGone = [this] { return exchange_.callerGone(); };
        if (route.uploadLink) {
            hooks.paceUpload = [this, link = route.uploadLink](std::size_t bytes) { pace(*link, bytes); };
        }
        return hooks;
    }

    void pace(Steering::LinkBudget &link, std::size_t bytes) const
    {
        const Base::MonotonicMs wait = link.book(static_cast<std::int64_t>(bytes), clock_.monotonic());
        if (wait > 0) {
            Poco::Thread::sleep(wait);
        }
    }

    Upstreams::OutgoingRequest outgoing() const
    {
        Http::HeaderList headers = Http::endToEndHeaders(exchange_.request());
        headers.emplace_back("X-Forwarded-For", exchange_.callerAddress());
        return {exchange_.request().getMethod(), exchange_.request().getURI(), std::move(headers)};
    }

    bool handle(TryResult result, Exchange &exchange, const Route &route, BufferedBody &body, std::int64_t attempt)
    {
        const Base::MonotonicMs now = clock_.monotonic();
        switch (result) {
        case TryResult::Answered:
            noteAnswer(exchange, route);
            return relayAnswer(exchange, route, body, attempt);
        case TryResult::Refused:
            noteAnswer(exchange, route);
            route.load->observeShed(now, shedPauseMs);
            drainRefusal(exchange);
            return again(route, attempt, {ProblemKind::UpstreamRefused, RunState::NotRun}, body.isWhole());
        case TryResult::NoAnswer:
            pool_.dropIdle(route.server.id);
            if (!reused_) {
                route.load->observeFailure(now, silencePauseMs);
            }
            silenceSeen_ = true;
            return again(route, attempt, {ProblemKind::UpstreamNoAnswer, RunState::Unknown}, idempotent_ && body.isWhole());
        case TryResult::CallerBodyCut:
            if (body.exceedsLimit()) {
                refuse({ProblemKind::BodyTooLarge, RunState::Unknown});
            } else {
                refuseBrokenBody(RunState::Unknown);
            }
            return true;
        case TryResult::CallerGone:
            exchange_.cut();
            record(RequestOutcome::Failed);
            return true;
        case TryResult::DeadlinePassed:
            pool_.dropIdle(route.server.id);
            refuse({ProblemKind::DeadlineAfterSend, RunState::Unknown});
            return true;
        }
        return true;
    }

    void noteAnswer(const Exchange &exchange, const Route &route) const
    {
        const Base::MonotonicMs now = clock_.monotonic();
        route.load->observeAnswer(now);
        if (exchange.announcesLeaving()) {
            route.load->observeLeaving(now, leavingHoldMs);
        }
    }

    static void drainRefusal(Exchange &exchange)
    {
        std::array<char, copyBytes> buffer;
        while (exchange.answerBody().state() == Http::BodyState::More) {
            exchange.answerBody().read(buffer.data(), buffer.size());
        }
    }

    /// Decides on another try. @p repeatable: the request may be sent again at all.
    /// Returns false when there is to be another try; else answers @p failure.
    bool again(const Route &route, std::int64_t attempt, const Problem &failure, bool repeatable, RetryCost cost = RetryCost::Budget)
    {
        // Once a try's outcome is unknown, a later refusal cannot say that the request was not run.
        const RunState run = lastFailure_ && lastFailure_->run == RunState::Unknown ? RunState::Unknown : failure.run;
        lastFailure_ = Problem{failure.kind, run};
        excluded_.push_back(route.server.id);
        const bool allowed = repeatable && attempt < service_.maxAttempts && clock_.monotonic() < deadline_;
        if (allowed && (cost == RetryCost::Free || retryBudget_.trySpend())) {
            return false;
        }
        refuse(*lastFailure_);
        return true;
    }

    bool relayAnswer(Exchange &exchange, const Route &route, BufferedBody &body, std::int64_t attempt)
    {
        Http::BodyReader &answer = exchange.answerBody();
        if (answer.framing() == Http::Framing::UntilClose) {
            // Its end could not be told from a cut.
            return again(route, attempt, {ProblemKind::UpstreamNoAnswer, RunState::Unknown}, idempotent_ && body.isWhole());
        }
        std::array<char, copyBytes> buffer;
        std::size_t count = answer.read(buffer.data(), buffer.size());
        if (answer.state() == Http::BodyState::Cut) {
            pool_.dropIdle(route.server.id);
            return again(route, attempt, {ProblemKind::UpstreamNoAnswer, RunState::Unknown}, idempotent_ && body.isWhole());
        }
        std::ostream &out = startAnswer(exchange);
        while (true) {
            if (route.answerLink && count > 0) {
                pace(*route.answerLink, count);
            }
            out.write(buffer.data(), static_cast<std::streamsize>(count));
            if (answer.state() == Http::BodyState::Complete) {
                break;
            }
            count = answer.read(buffer.data(), buffer.size());
            if (answer.state() == Http::BodyState::Cut || !out.good() || clock_.monotonic() >= deadline_) {
                // Closing now leaves the caller with a body that is visibly short.
                exchange_.cut();
                record(RequestOutcome::Failed);
                return true;
            }
        }
        out.flush();
        record(RequestOutcome::Answered);
        return true;
    }

    std::ostream &startAnswer(const Exchange &exchange)
    {
        const Poco::Net::HTTPResponse &response = exchange.response();
        const bool head = exchange_.request().getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
        const int status = response.getStatus();
        const bool hasBody = status != Poco::Net::HTTPResponse::HTTP_NO_CONTENT && status != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
        const bool hasLength = response.hasContentLength();
        const std::int64_t length = hasLength ? response.getContentLength64() : -1;
        const bool described = hasBody && (hasLength || !head);
        return exchange_.startAnswer(status, response.getReason(), Http::endToEndHeaders(response), length, described);
    }

    void refuseBrokenBody(RunState run)
    {
        const bool stalled = !exchange_.callerGone();
        refuse({stalled ? ProblemKind::CallerStalled : ProblemKind::BodyCut, run});
    }

    void refuse(const Problem &problem)
    {
        record(RequestOutcome::Refused);
        Base::log(Base::LogLevel::Debug, "request-refused",
            {{"service", service_.name}, {"problem", std::string(problemType(problem.kind))}, {"run", std::string(toString(problem.run))}});
        exchange_.answer(problem);
    }

    void record(RequestOutcome outcome)
    {
        router_.record(service_.name, place_, outcome, Base::monotonicMicroseconds() - startUs_);
    }

    CallerExchange &exchange_;
    const Steering::Service &service_;
    Steering::RetryBudget &retryBudget_;
    Router &router_;
    Upstreams::ConnectionPool &pool_;
    const Base::Clock &clock_;
    const ForwarderLimits &limits_;
    BufferBudget &budget_;
    StreamCounter &streams_;
    const std::int64_t startUs_;
    const bool idempotent_;
    Base::MonotonicMs deadline_ = 0;
    bool streaming_ = false;
    bool reused_ = false;
    bool silenceSeen_ = false;
    std::string place_;
    std::vector<std::string> excluded_;
    std::optional<Problem> lastFailure_;
};

} // namespace

bool StreamCounter::tryEnter(const std::string &service, std::int64_t limit)
{
    const std::lock_guard lock(mutex_);
    std::int64_t &count = counts_[service];
    if (count >= limit) {
        return false;
    }
    ++count;
    return true;
}

void StreamCounter::leave(const std::string &service)
{
    const std::lock_guard lock(mutex_);
    --counts_[service];
}

Forwarder::Forwarder(Router &router, Upstreams::ConnectionPool &pool, const Base::Clock &clock, ForwarderLimits limits)
    : router_(router)
    , pool_(pool)
    , clock_(clock)
    , limits_(limits)
    , budget_(limits.bufferBytes)
{}

void Forwarder::forward(CallerExchange &exchange, const ServiceMatch &match)
{
    if (!router_.isReady()) {
        exchange.answer(Problem{ProblemKind::NotReady, RunState::NotRun});
        return;
    }
    Forwarding(exchange, match, router_, pool_, clock_, limits_, budget_, streams_).run();
}

std::int64_t Forwarder::bufferedBytes() const
{
    return budget_.used();
}

} // namespace Wasabistair::Callers
