#pragma once

#include "callerexchange.h"

#include <base/memorybudget.h>
#include <upstreams/exchange.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Wasabistair::Callers {

/// Body of a caller's request. As much of it as fits is buffered before a slot of a server is occupied, so that a slow caller does not hold one; the rest
/// is streamed.
class BufferedBody: public Upstreams::RequestBody
{
public:
    BufferedBody(CallerExchange &exchange, Base::MemoryBudget &budget, std::int64_t maxBytes);
    ~BufferedBody() override;
    BufferedBody(const BufferedBody &) = delete;
    BufferedBody &operator=(const BufferedBody &) = delete;

    /// Largest part of one body that is buffered; the rest of a larger one is streamed.
    static constexpr std::int64_t maxBufferedBytes = 8 << 20;

    /// Buffers the body until it is complete, a limit is reached, the memory budget is exhausted, or the caller fails.
    void readAhead();
    /// True when readAhead() stopped because the memory budget is exhausted; a later call may continue.
    [[nodiscard]] bool needsMemory() const;
    /// True when the complete body is buffered and can be sent any number of times.
    [[nodiscard]] bool isComplete() const;
    /// True when the body was truncated, malformed or stalled by the caller.
    [[nodiscard]] bool isBroken() const;
    [[nodiscard]] bool exceedsLimit() const;
    /// Restarts reading at the first byte; only valid when the complete body is buffered.
    void rewind();

    [[nodiscard]] Http::Framing framing() const override;
    [[nodiscard]] std::int64_t length() const override;
    std::size_t read(char *buffer, std::size_t size) override;
    [[nodiscard]] Http::BodyState state() const override;

private:
    [[nodiscard]] bool hasFreeSpace() const;

    CallerExchange &exchange_;
    Http::BodyReader &source_;
    Base::MemoryBudget &budget_;
    const std::int64_t maxBytes_;
    // All chunks have the same capacity; it is taken from the budget when a chunk is created.
    std::vector<std::string> chunks_;
    std::int64_t bufferedBytes_ = 0;
    std::size_t readChunk_ = 0;
    std::size_t readPosition_ = 0;
};

} // namespace Wasabistair::Callers
