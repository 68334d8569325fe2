#include "bodybuffer.h"

#include <algorithm>
#include <array>

namespace Wasabistair::Callers {

namespace {

/// Memory is first taken from the budget in this many bytes, then doubled.
constexpr std::int64_t stepBytes = 64 * 1024;
constexpr std::size_t readBytes = 16 * 1024;

} // namespace

BufferBudget::BufferBudget(std::int64_t limit)
    : limit_(limit)
{}

bool BufferBudget::tryTake(std::int64_t bytes)
{
    if (used_.fetch_add(bytes, std::memory_order_relaxed) + bytes <= limit_) {
        return true;
    }
    used_.fetch_sub(bytes, std::memory_order_relaxed);
    return false;
}

void BufferBudget::giveBack(std::int64_t bytes)
{
    used_.fetch_sub(bytes, std::memory_order_relaxed);
}

std::int64_t BufferBudget::used() const
{
    return used_.load(std::memory_order_relaxed);
}

BufferedBody::BufferedBody(CallerExchange &exchange, BufferBudget &budget, std::int64_t maxBytes)
    : exchange_(exchange)
    , source_(exchange.body())
    , budget_(budget)
    , maxBytes_(maxBytes)
{}

BufferedBody::~BufferedBody()
{
    budget_.giveBack(taken_);
}

void BufferedBody::readAhead()
{
    std::array<char, readBytes> buffer;
    while (source_.state() == Http::BodyState::More && !exceedsLimit()) {
        if (static_cast<std::int64_t>(bytes_.size() + buffer.size()) > taken_) {
            const std::int64_t step = std::max(stepBytes, taken_);
            if (!budget_.tryTake(step)) {
                return;
            }
            taken_ += step;
            bytes_.reserve(static_cast<std::size_t>(taken_));
        }
        exchange_.expectProgress();
        bytes_.append(buffer.data(), source_.read(buffer.data(), buffer.size()));
    }
}

bool BufferedBody::isWhole() const
{
    return source_.state() == Http::BodyState::Complete && static_cast<std::int64_t>(bytes_.size()) == source_.bytesRead();
}

bool BufferedBody::isBroken() const
{
    return source_.state() == Http::BodyState::Cut;
}

bool BufferedBody::exceedsLimit() const
{
    return source_.bytesRead() > maxBytes_;
}

void BufferedBody::rewind()
{
    position_ = 0;
}

Http::Framing BufferedBody::framing() const
{
    return isWhole() && source_.framing() == Http::Framing::Chunked ? Http::Framing::FixedLength : source_.framing();
}

std::int64_t BufferedBody::length() const
{
    return isWhole() ? static_cast<std::int64_t>(bytes_.size()) : source_.length();
}

std::size_t BufferedBody::read(char *buffer, std::size_t size)
{
    if (position_ < bytes_.size()) {
        const std::size_t count = std::min(size, bytes_.size() - position_);
        std::copy_n(bytes_.data() + position_, count, buffer);
        position_ += count;
        return count;
    }
    exchange_.expectProgress();
    return source_.read(buffer, size);
}

Http::BodyState BufferedBody::state() const
{
    if (position_ < bytes_.size()) {
        return Http::BodyState::More;
    }
    return exceedsLimit() ? Http::BodyState::Cut : source_.state();
}

} // namespace Wasabistair::Callers
