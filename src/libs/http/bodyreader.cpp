#include "bodyreader.h"

namespace Wasabistair::Http {

BodyReader::BodyReader(std::istream &in, RecordingSocketImpl &socket, Framing framing, std::int64_t length, std::function<int()> unreadBytes)
    : in_(in)
    , socket_(socket)
    , framing_(framing)
    , length_(length)
    , unreadBytes_(std::move(unreadBytes))
{
    if (framing_ == Framing::None || (framing_ == Framing::FixedLength && length_ == 0)) {
        state_ = BodyState::Complete;
    }
}

std::size_t BodyReader::read(char *buffer, std::size_t size)
{
    if (state_ != BodyState::NeedsMore) {
        return 0;
    }
    // Blocks for the first byte only, then returns what is buffered, so that data is forwarded as it arrives.
    const int firstByte = in_.get();
    if (firstByte == std::istream::traits_type::eof() || in_.bad()) {
        state_ = in_.bad() ? BodyState::Incomplete : stateAtEndOfStream();
        return 0;
    }
    buffer[0] = static_cast<char>(firstByte);
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

BodyState BodyReader::stateAtEndOfStream() const
{
    // POCO's chunked stream reports the end of the body at a malformed chunk too; then bytes are left in the session.
    const bool isChunkedBodyComplete = framing_ == Framing::Chunked && !socket_.peerClosed() && socket_.endsWithLastChunk() && unreadBytes_() == 0;
    return isChunkedBodyComplete ? BodyState::Complete : BodyState::Incomplete;
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
