#pragma once

#include "callerexchange.h"

#include <base/memorybudget.h>
#include <upstreams/exchange.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Wasabistair::Callers {

/// Body of a caller's request: as much as fits is read before a server's slot is occupied, so that a
/// slow caller does not hold one; what does not fit is streamed through.
class BufferedBody: public Upstreams::RequestBody
{
public:
    BufferedBody(CallerExchange &exchange, Base::MemoryBudget &budget, std::int64_t maxBytes);
    ~BufferedBody() override;
    BufferedBody(const BufferedBody &) = delete;
    BufferedBody &operator=(const BufferedBody &) = delete;

    /// Largest part of one body that is held in memory; the rest of a larger one is streamed.
    static constexpr std::int64_t maxBufferedBytes = 8 << 20;

    /// Reads ahead until the body is whole, or a limit is met, or the caller fails.
    void readAhead();
    /// True when readAhead() ended because the budget is spent, so that a later call may go on.
    [[nodiscard]] bool wantsMemory() const;
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
    [[nodiscard]] bool hasRoom() const;

    CallerExchange &exchange_;
    Http::BodyReader &source_;
    Base::MemoryBudget &budget_;
    const std::int64_t maxBytes_;
    // Each chunk has the same capacity, taken from the budget as a whole.
    std::vector<std::string> chunks_;
    std::int64_t buffered_ = 0;
    std::size_t chunk_ = 0;
    std::size_t position_ = 0;
};

} // namespace Wasabistair::Callers
