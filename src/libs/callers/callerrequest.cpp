#include "callerrequest.h"

#include "requestcheck.h"

#include <http/bodydecoder.h>
#include <http/messagehead.h>

#include <Poco/String.h>

#include <algorithm>

namespace Wasabistair::Callers {

namespace {

// Longest pause while a body arrives; total time is bounded by the request's own deadline.
constexpr std::int64_t bodyPauseMs = 4'000;

/// Makes room in @p body for @p more bytes if @p memory allows: it holds the old and the new buffer while one is copied into the other.
bool makeRoom(std::string &body, std::size_t more, Base::MemoryLease &memory)
{
    if (body.capacity() - body.size() >= more) {
        return true;
    }
    const std::size_t wanted = body.size() + std::max(more, body.size() / 2);
    if (!memory.growTo(static_cast<std::int64_t>(wanted + body.capacity()))) {
        return false;
    }
    body.reserve(wanted);
    return true;
}

ReadEnd readHead(Http::ByteStream &stream, const Steering::CallerLimits &limits, Base::MonotonicMs idleUntil, const Base::Clock &clock, CallerRequest &request)
{
    Base::MonotonicMs deadline = idleUntil;
    bool begun = !stream.input().empty();
    while (true) {
        if (begun && request.arrivedAt == 0) {
            request.arrivedAt = clock.monotonic();
            deadline = request.arrivedAt + limits.headerTimeoutMs;
        }
        if (const auto head = Http::takeHead(stream.input())) {
            return Http::parseRequest(*head, request.head) && !checkRequest(request.head) ? ReadEnd::Whole : ReadEnd::Malformed;
        }
        if (stream.input().size() > static_cast<std::size_t>(limits.maxHeaderBytes)) {
            return ReadEnd::HeaderTooLarge;
        }
        const Http::IoState state = stream.receive(deadline);
        if (state != Http::IoState::Ok) {
            return state == Http::IoState::TimedOut && begun ? ReadEnd::TimedOut : ReadEnd::Closed;
        }
        begun = begun || !stream.input().empty();
    }
}

ReadEnd readBody(Http::ByteStream &stream, const Steering::CallerLimits &limits, const Base::Clock &clock, Base::MemoryLease &memory, CallerRequest &request)
{
    const Http::BodyFrame frame = requestFraming(request.head);
    if (frame.length > limits.maxBodyBytes) {
        return ReadEnd::BodyTooLarge;
    }
    if (Poco::icompare(request.head.get("Expect", ""), "100-continue") == 0) {
        stream.send("HTTP/1.1 100 Continue\r\n\r\n", clock.monotonic() + bodyPauseMs);
    }
    const Base::MonotonicMs until = request.arrivedAt + request.facts.budgetMs.value_or(defaultBudgetMs);
    Http::BodyDecoder decoder(frame);
    while (true) {
        if (frame.framing != Http::Framing::None && !makeRoom(request.body, stream.input().size(), memory)) {
            return ReadEnd::NoMemory;
        }
        const Http::BodyState state = decoder.feed(stream.input(), request.body);
        if (state == Http::BodyState::Complete) {
            return ReadEnd::Whole;
        }
        if (state == Http::BodyState::Cut) {
            return ReadEnd::Malformed;
        }
        if (static_cast<std::int64_t>(request.body.size()) > limits.maxBodyBytes) {
            return ReadEnd::BodyTooLarge;
        }
        const Base::MonotonicMs now = clock.monotonic();
        if (now >= until) {
            return ReadEnd::TimedOut;
        }
        const Http::IoState io = stream.receive(std::min(now + bodyPauseMs, until));
        if (io != Http::IoState::Ok) {
            return io == Http::IoState::TimedOut ? ReadEnd::TimedOut : ReadEnd::Closed;
        }
    }
}

} // namespace

std::string_view toString(ReadEnd end)
{
    switch (end) {
    case ReadEnd::Whole:
        return "whole";
    case ReadEnd::Closed:
        return "closed";
    case ReadEnd::TimedOut:
        return "timed-out";
    case ReadEnd::Malformed:
        return "malformed";
    case ReadEnd::HeaderTooLarge:
        return "header-too-large";
    case ReadEnd::BodyTooLarge:
        return "body-too-large";
    case ReadEnd::NoMemory:
        return "no-memory";
    }
    return "unknown";
}

ReadEnd readRequest(Http::ByteStream &stream, const Steering::CallerLimits &limits, Base::MonotonicMs idleUntil, const Base::Clock &clock,
    Base::MemoryLease &memory, CallerRequest &request)
{
    const ReadEnd head = readHead(stream, limits, idleUntil, clock, request);
    if (head != ReadEnd::Whole) {
        return head;
    }
    request.facts = Adapter::decodeCallerFacts(request.head);
    return readBody(stream, limits, clock, memory, request);
}

} // namespace Wasabistair::Callers
