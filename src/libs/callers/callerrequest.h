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

/// One whole request of a caller.
struct CallerRequest {
    Poco::Net::HTTPRequest head;
    std::string body;
    Adapter::CallerFacts facts;
    /// When its first byte arrived.
    Base::MonotonicMs arrivedAt = 0;
};

/// Deadline of requests that state none and whose route has none, in ms.
constexpr std::int64_t defaultBudgetMs = 30'000;

/// How reading a request ended.
enum class ReadEnd {
    Whole,
    /// The caller closed, or never sent anything.
    Closed,
    /// The caller took longer than its limits allow, or than the request's own deadline.
    TimedOut,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    /// The VM has no memory left for the body.
    NoMemory,
};

[[nodiscard]] std::string_view toString(ReadEnd end);

/// Reads one request. @p idleUntil: how long the first byte may take.
[[nodiscard]] ReadEnd readRequest(Http::ByteStream &stream, const Steering::CallerLimits &limits, Base::MonotonicMs idleUntil, const Base::Clock &clock,
    Base::MemoryLease &memory, CallerRequest &request);

} // namespace Wasabistair::Callers
