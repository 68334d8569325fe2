#include "bodybuffer.h"

#include <algorithm>
#include <array>

namespace Wasabistair::Callers {

namespace {

/// Memory is taken from the budget in chunks of this many bytes.
constexpr std::size_t chunkBytes = 64 * 1024;
constexpr std::size_t readBytes = 16 * 1024;

} // namespace

BufferedBody::BufferedBody(CallerExchange &exchange, Base::MemoryBudget &budget, std::int64_t maxBytes)
    : exchange_(exchange)
    , source_(exchange.body())
    , budget_(budget)
    , maxBytes_(maxBytes)
{}

BufferedBody::~BufferedBody()
{
    budget_.give(static_cast<std::int64_t>(chunks_.size() * chunkBytes));
}

bool BufferedBody::hasRoom() const
{
    return !chunks_.empty() && chunks_.back().size() + readBytes <= chunkBytes;
}

void BufferedBody::readAhead()
{
    std::array<char, readBytes> buffer;
    while (source_.state() == Http::BodyState::More && !exceedsLimit() && buffered_ < maxBufferedBytes) {
        if (!hasRoom()) {
            if (!budget_.tryTake(chunkBytes)) {
                return;
            }
            chunks_.emplace_back();
            chunks_.back().reserve(chunkBytes);
        }
        exchange_.expectProgress();
        const std::size_t count = source_.read(buffer.data(), buffer.size());
        chunks_.back().append(buffer.data(), count);
        buffered_ += static_cast<std::int64_t>(count);
    }
}

bool BufferedBody::wantsMemory() const
{
    return source_.state() == Http::BodyState::More && !exceedsLimit() && buffered_ < maxBufferedBytes;
}

bool BufferedBody::isWhole() const
{
    return source_.state() == Http::BodyState::Complete && buffered_ == source_.bytesRead();
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
    chunk_ = 0;
    position_ = 0;
}

Http::Framing BufferedBody::framing() const
{
    return isWhole() && source_.framing() == Http::Framing::Chunked ? Http::Framing::FixedLength : source_.framing();
}

std::int64_t BufferedBody::length() const
{
    return isWhole() ? buffered_ : source_.length();
}

std::size_t BufferedBody::read(char *buffer, std::size_t size)
{
    if (chunk_ < chunks_.size()) {
        const std::string &chunk = chunks_[chunk_];
        const std::size_t count = std::min(size, chunk.size() - position_);
        std::copy_n(chunk.data() + position_, count, buffer);
        position_ += count;
        if (position_ == chunk.size()) {
            ++chunk_;
            position_ = 0;
        }
        return count;
    }
    exchange_.expectProgress();
    return source_.read(buffer, size);
}

Http::BodyState BufferedBody::state() const
{
    if (chunk_ < chunks_.size()) {
        return Http::BodyState::More;
    }
    return exceedsLimit() ? Http::BodyState::Cut : source_.state();
}

} // namespace Wasabistair::Callers
