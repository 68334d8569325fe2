#include "bodyreader.h"

namespace Wasabistair::Http {

BodyReader::BodyReader(std::istream &in, RecordingSocketImpl &socket, Framing framing, std::int64_t length, std::function<int()> unread)
    : in_(in)
    , socket_(socket)
    , framing_(framing)
    , length_(length)
    , unread_(std::move(unread))
{
    if (framing_ == Framing::None || (framing_ == Framing::FixedLength && length_ == 0)) {
        state_ = BodyState::Complete;
    }
}

std::size_t BodyReader::read(char *buffer, std::size_t size)
{
    if (state_ != BodyState::More) {
        return 0;
    }
    // Returns what one read from the socket gave instead of waiting for a full buffer.
    const int first = in_.get();
    if (first == std::istream::traits_type::eof() || in_.bad()) {
        state_ = in_.bad() ? BodyState::Cut : stateAtEnd();
        return 0;
    }
    buffer[0] = static_cast<char>(first);
    std::size_t count = 1;
    const std::streamsize available = in_.rdbuf()->in_avail();
    if (available > 0 && size > 1) {
        in_.read(buffer + 1, std::min<std::streamsize>(available, static_cast<std::streamsize>(size) - 1));
        count += static_cast<std::size_t>(in_.gcount());
    }
    bytesRead_ += static_cast<std::int64_t>(count);
    if (framing_ == Framing::FixedLength && bytesRead_ == length_) {
        state_ = BodyState::Complete;
    }
    return count;
}

BodyState BodyReader::stateAtEnd() const
{
    // Bytes left in the session mean that the chunked stream gave up at a malformed chunk.
    const bool wholeChunked = framing_ == Framing::Chunked && !socket_.peerClosed() && socket_.endsWithLastChunk() && unread_() == 0;
    return wholeChunked ? BodyState::Complete : BodyState::Cut;
}

BodyState BodyReader::state() const
{
    return state_;
}

Framing BodyReader::framing() const
{
    return framing_;
}

std::int64_t BodyReader::length() const
{
    return length_;
}

std::int64_t BodyReader::bytesRead() const
{
    return bytesRead_;
}

} // namespace Wasabistair::Http
