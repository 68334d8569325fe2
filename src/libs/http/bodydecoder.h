#pragma once

#include "bodyreader.h"

#include <cstdint>
#include <string>

namespace Wasabistair::Http {

/// Incremental decoder that extracts a message body of any framing from received bytes.
class BodyDecoder
{
public:
    explicit BodyDecoder(const BodyFraming &frame);

    /// Moves the bytes of the body from @p input to @p body, without chunk framing. Bytes after the end of the body stay in @p input.
    BodyState feed(std::string &input, std::string &body);
    /// Reports that the peer closed the connection without an error: completes a body delimited by the close; any other unfinished body is
    /// incomplete.
    BodyState end();

private:
    enum class ChunkPart {
        Size,
        Data,
        DataEnd,
        Trailer,
    };

    BodyState decodeChunks(std::string &input, std::string &body);
    /// Parses the next part of a chunked body from @p position. Returns false when more input is needed or the body is malformed.
    bool parseChunkPart(std::string &input, std::size_t &position, std::string &body);
    bool readChunkSize(const std::string &line);

    const Framing framing_;
    std::uint64_t remainingBytes_ = 0;
    ChunkPart part_ = ChunkPart::Size;
    int trailerCount_ = 0;
    BodyState state_ = BodyState::NeedsMore;
};

} // namespace Wasabistair::Http
