#include "bufferedbody.h"

#include <algorithm>
#include <array>

namespace Wasabistair::Callers {

namespace {

/// Size of the chunks in which memory is taken from the budget.
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
    budget_.release(static_cast<std::int64_t>(chunks_.size() * chunkBytes));
}

bool BufferedBody::hasFreeSpace() const
{
    return !chunks_.empty() && chunks_.back().size() + readBytes <= chunkBytes;
}

void BufferedBody::readAhead()
{
    std::array<char, readBytes> buffer;
    while (source_.state() == Http::BodyState::NeedsMore && !exceedsLimit() && bufferedBytes_ < maxBufferedBytes) {
        if (!hasFreeSpace()) {
            if (!budget_.tryReserve(chunkBytes)) {
                return;
            }
            chunks_.emplace_back();
            chunks_.back().reserve(chunkBytes);
        }
        exchange_.extendBodyDeadline();
        const std::size_t count = source_.read(buffer.data(), buffer.size());
        chunks_.back().append(buffer.data(), count);
        bufferedBytes_ += static_cast<std::int64_t>(count);
    }
}

bool BufferedBody::needsMemory() const
{
    return source_.state() == Http::BodyState::NeedsMore && !exceedsLimit() && bufferedBytes_ < maxBufferedBytes;
}

bool BufferedBody::isComplete() const
{
    return source_.state() == Http::BodyState::Complete && bufferedBytes_ == source_.bytesRead();
}

bool BufferedBody::isBroken() const
{
    return source_.state() == Http::BodyState::Incomplete;
}

bool BufferedBody::exceedsLimit() const
{
    return source_.bytesRead() > maxBytes_;
}

void BufferedBody::rewind()
{
    readChunk_ = 0;
    readPosition_ = 0;
}

Http::Framing BufferedBody::framing() const
{
    return isComplete() && source_.framing() == Http::Framing::Chunked ? Http::Framing::FixedLength : source_.framing();
}

std::int64_t BufferedBody::length() const
{
    return isComplete() ? bufferedBytes_ : source_.length();
}

std::size_t BufferedBody::read(char *buffer, std::size_t size)
{
    if (readChunk_ < chunks_.size()) {
        const std::string &chunk = chunks_[readChunk_];
        const std::size_t count = std::min(size, chunk.size() - readPosition_);
        std::copy_n(chunk.data() + readPosition_, count, buffer);
        readPosition_ += count;
        if (readPosition_ == chunk.size()) {
            ++readChunk_;
            readPosition_ = 0;
        }
        return count;
    }
    exchange_.extendBodyDeadline();
    return source_.read(buffer, size);
}

Http::BodyState BufferedBody::state() const
{
    if (readChunk_ < chunks_.size()) {
        return Http::BodyState::NeedsMore;
    }
    return exceedsLimit() ? Http::BodyState::Incomplete : source_.state();
}

} // namespace Wasabistair::Callers
