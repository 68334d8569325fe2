#pragma once

#include <base/clock.h>
#include <base/memorybudget.h>
#include <http/bytestream.h>
#include <platform/messages.h>
#include <steering/manifest.h>

#include <Poco/Net/HTTPRequest.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Wasabistair::Callers {

/// A complete request of a caller.
struct CallerRequest {
    Poco::Net::HTTPRequest head;
    std::string body;
    Adapter::RequestMetadata metadata;
    /// Monotonic time at which its first byte arrived.
    Base::MonotonicMs arrivedAt = 0;
};

/// Deadline in ms after arrival for requests that state none; a route's timeout may shorten it.
constexpr std::int64_t defaultDeadlineMs = 30'000;

/// How long after its arrival the final answer to @p request is due, in ms. @p route may be null.
[[nodiscard]] std::int64_t maxDurationMs(const CallerRequest &request, const Steering::RouteRule *route);

/// Result of reading a request.
enum class ReadOutcome {
    Complete,
    /// The caller closed the connection or sent nothing before the deadline of the first byte.
    Closed,
    /// The head or body took longer than the configured limits or the request's own deadline allow.
    TimedOut,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    /// The memory budget of the VM has no space for the body.
    NoMemory,
};

[[nodiscard]] std::string_view toString(ReadOutcome outcome);

/// Reads one request from @p stream; its first byte must arrive before @p firstByteDeadline (monotonic). Memory for the body is taken from @p memory.
[[nodiscard]] ReadOutcome readRequest(Http::ByteStream &stream, const Steering::CallerLimits &limits, Base::MonotonicMs firstByteDeadline,
    const Base::Clock &clock, Base::MemoryReservation &memory, CallerRequest &request);

} // namespace Wasabistair::Callers
