#pragma once

#include "callerexchange.h"

#include <upstreams/exchange.h>

#include <atomic>
#include <cstdint>
#include <string>

namespace Wasabistair::Callers {

/// Bytes that all requests of this process may hold in memory together.
class BufferBudget
{
public:
    explicit BufferBudget(std::int64_t limit);

    bool tryTake(std::int64_t bytes);
    void giveBack(std::int64_t bytes);
    [[nodiscard]] std::int64_t used() const;

private:
    const std::int64_t limit_;
    std::atomic<std::int64_t> used_{0};
};

/// Body of a caller's request: as much as fits is read before a server's slot is occupied, so that a
/// slow caller does not hold one; what does not fit is streamed through.
class BufferedBody: public Upstreams::RequestBody
{
public:
    BufferedBody(CallerExchange &exchange, BufferBudget &budget, std::int64_t maxBytes);
    ~BufferedBody() override;
    BufferedBody(const BufferedBody &) = delete;
    BufferedBody &operator=(const BufferedBody &) = delete;

    /// Reads ahead until the body is whole, or a limit is met, or the caller fails.
    void readAhead();
    /// True when the whole body is in memory and can be sent any number of times.
    [[nodiscard]] bool isWhole() const;
    /// The caller cut or stalled the body.
    [[nodiscard]] bool isBroken() const;
    [[nodiscard]] bool exceedsLimit() const;
    /// Starts again from the first byte; only when isWhole().
    void rewind();

    [[nodiscard]] Http::Framing framing() const override;
    [[nodiscard]] std::int64_t length() const override;
    std::size_t read(char *buffer, std::size_t size) override;
    [[nodiscard]] Http::BodyState state() const override;

private:
    CallerExchange &exchange_;
    Http::BodyReader &source_;
    BufferBudget &budget_;
    const std::int64_t maxBytes_;
    std::string bytes_;
    std::int64_t taken_ = 0;
    std::size_t position_ = 0;
};

} // namespace Wasabistair::Callers
