#pragma once

#include <base/clock.h>
#include <http/bytestream.h>
#include <platform/messages.h>
#include <steering/manifest.h>

#include <Poco/Net/HTTPRequest.h>

#include <atomic>
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

/// How reading a request ended.
enum class ReadEnd {
    Whole,
    /// The caller closed, or never sent anything.
    Closed,
    /// The caller took longer than its limits allow.
    TimedOut,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    /// The VM has no memory left for the body.
    NoMemory,
};

[[nodiscard]] std::string_view toString(ReadEnd end);

/// Bounds the memory of all bodies that are being read or forwarded. Thread-safe.
class BodyMemory
{
public:
    explicit BodyMemory(std::int64_t limitBytes);
    [[nodiscard]] bool tryTake(std::int64_t bytes);
    void give(std::int64_t bytes);

private:
    const std::int64_t limitBytes_;
    std::atomic<std::int64_t> taken_{0};
};

/// Holds a part of BodyMemory for as long as it lives.
class BodyMemoryLease
{
public:
    explicit BodyMemoryLease(BodyMemory &memory);
    ~BodyMemoryLease();
    BodyMemoryLease(const BodyMemoryLease &) = delete;
    BodyMemoryLease &operator=(const BodyMemoryLease &) = delete;
    [[nodiscard]] bool growTo(std::int64_t bytes);

private:
    BodyMemory &memory_;
    std::int64_t held_ = 0;
};

/// Reads one request. @p idleUntil: how long the first byte may take.
[[nodiscard]] ReadEnd readRequest(Http::ByteStream &stream, const Steering::CallerLimits &limits, Base::MonotonicMs idleUntil, const Base::Clock &clock,
    BodyMemoryLease &memory, CallerRequest &request);

} // namespace Wasabistair::Callers
