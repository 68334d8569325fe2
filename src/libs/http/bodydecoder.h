#pragma once

#include "bodyreader.h"

#include <cstdint>
#include <string>

namespace Wasabistair::Http {

/// Takes a body out of a connection's received bytes, whatever its framing.
class BodyDecoder
{
public:
    explicit BodyDecoder(const BodyFrame &frame);

    /// Moves what belongs to the body from @p input to @p body. Bytes behind the body's end stay in @p input.
    BodyState feed(std::string &input, std::string &body);
    /// The peer closed in an orderly way: completes a body that ends with its connection, cuts every other one.
    BodyState end();

private:
    enum class ChunkPart {
        Size,
        Data,
        DataEnd,
        Trailer,
    };

    BodyState feedChunks(std::string &input, std::string &body);
    /// False when more input is needed or the body is malformed.
    bool stepChunk(std::string &input, std::size_t &position, std::string &body);
    bool readChunkSize(const std::string &line);

    const Framing framing_;
    std::uint64_t left_ = 0;
    ChunkPart part_ = ChunkPart::Size;
    int trailers_ = 0;
    BodyState state_ = BodyState::More;
};

} // namespace Wasabistair::Http
