#include "callerrequest.h"

#include "requestcheck.h"

#include <http/bodydecoder.h>
#include <http/messagehead.h>

#include <Poco/String.h>

#include <algorithm>
#include <new>

namespace Wasabistair::Callers {

namespace {

// Longest pause between two receives of a body; the total time is bounded by the request's own deadline.
constexpr std::int64_t maxBodyPauseMs = 4'000;

/// Reserves space in @p body for @p more bytes; false if @p memory does not allow it. The lease covers the old and the new buffer, which coexist while
/// one is copied to the other.
bool reserveSpace(std::string &body, std::size_t more, Base::MemoryReservation &memory)
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

ReadOutcome readHead(
    Http::ByteStream &stream, const Steering::CallerLimits &limits, Base::MonotonicMs firstByteDeadline, const Base::Clock &clock, CallerRequest &request)
{
    Base::MonotonicMs deadline = firstByteDeadline;
    bool started = !stream.input().empty();
    while (true) {
        if (started && request.arrivedAt == 0) {
            request.arrivedAt = clock.monotonic();
            deadline = request.arrivedAt + limits.headerTimeoutMs;
        }
        if (const auto head = Http::takeHead(stream.input())) {
            return Http::parseRequest(*head, request.head) && !checkRequest(request.head) ? ReadOutcome::Complete : ReadOutcome::Malformed;
        }
        if (stream.input().size() > static_cast<std::size_t>(limits.maxHeaderBytes)) {
            return ReadOutcome::HeaderTooLarge;
        }
        const Http::IoState state = stream.receive(deadline);
        if (state != Http::IoState::Ok) {
            return state == Http::IoState::TimedOut && started ? ReadOutcome::TimedOut : ReadOutcome::Closed;
        }
        started = started || !stream.input().empty();
    }
}

ReadOutcome readBody(
    Http::ByteStream &stream, const Steering::CallerLimits &limits, const Base::Clock &clock, Base::MemoryReservation &memory, CallerRequest &request)
{
    const Http::BodyFraming frame = requestFraming(request.head);
    if (frame.length > limits.maxBodyBytes) {
        return ReadOutcome::BodyTooLarge;
    }
    if (Poco::icompare(request.head.get("Expect", ""), "100-continue") == 0) {
        stream.send("HTTP/1.1 100 Continue\r\n\r\n", clock.monotonic() + maxBodyPauseMs);
    }
    const Base::MonotonicMs deadline = request.arrivedAt + request.metadata.budgetMs.value_or(defaultDeadlineMs);
    Http::BodyDecoder decoder(frame);
    while (true) {
        if (frame.framing != Http::Framing::None && !reserveSpace(request.body, stream.input().size(), memory)) {
            return ReadOutcome::NoMemory;
        }
        const Http::BodyState state = decoder.feed(stream.input(), request.body);
        if (state == Http::BodyState::Complete) {
            return ReadOutcome::Complete;
        }
        if (state == Http::BodyState::Incomplete) {
            return ReadOutcome::Malformed;
        }
        if (static_cast<std::int64_t>(request.body.size()) > limits.maxBodyBytes) {
            return ReadOutcome::BodyTooLarge;
        }
        const Base::MonotonicMs now = clock.monotonic();
        if (now >= deadline) {
            return ReadOutcome::TimedOut;
        }
        const Http::IoState io = stream.receive(std::min(now + maxBodyPauseMs, deadline));
        if (io != Http::IoState::Ok) {
            return io == Http::IoState::TimedOut ? ReadOutcome::TimedOut : ReadOutcome::Closed;
        }
    }
}

} // namespace

std::int64_t maxDurationMs(const CallerRequest &request, const Steering::RouteRule *route)
{
    const std::int64_t budget = request.metadata.budgetMs.value_or(defaultDeadlineMs);
    return route != nullptr && route->timeoutMs > 0 ? std::min(budget, route->timeoutMs) : budget;
}

std::string_view toString(ReadOutcome outcome)
{
    switch (outcome) {
    case ReadOutcome::Complete:
        return "whole";
    case ReadOutcome::Closed:
        return "closed";
    case ReadOutcome::TimedOut:
        return "timed-out";
    case ReadOutcome::Malformed:
        return "malformed";
    case ReadOutcome::HeaderTooLarge:
        return "header-too-large";
    case ReadOutcome::BodyTooLarge:
        return "body-too-large";
    case ReadOutcome::NoMemory:
        return "no-memory";
    }
    return "unknown";
}

ReadOutcome readRequest(Http::ByteStream &stream, const Steering::CallerLimits &limits, Base::MonotonicMs firstByteDeadline, const Base::Clock &clock,
    Base::MemoryReservation &memory, CallerRequest &request)
{
    const ReadOutcome head = readHead(stream, limits, firstByteDeadline, clock, request);
    if (head != ReadOutcome::Complete) {
        return head;
    }
    request.metadata = Adapter::decodeRequestMetadata(request.head);
    try {
        return readBody(stream, limits, clock, memory, request);
    } catch (const std::bad_alloc &) {
        return ReadOutcome::NoMemory;
    }
}

} // namespace Wasabistair::Callers
