#pragma once

#include "recordingsocket.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <istream>

namespace Wasabistair::Http {

enum class Framing {
    None,
    FixedLength,
    Chunked,
    /// The close of the connection ends the body, so a close in the middle of the body goes unnoticed.
    UntilClose,
};

/// How a body is delimited. The length applies to FixedLength only.
struct BodyFraming {
    Framing framing = Framing::None;
    std::int64_t length = 0;

    auto operator<=>(const BodyFraming &) const = default;
};

enum class BodyState {
    NeedsMore,
    /// The body ended as its framing prescribes.
    Complete,
    /// The body is truncated or malformed, or did not arrive in time.
    Incomplete,
};

/// Reads a body from a stream of POCO's HTTP classes and detects whether it arrived completely.
class BodyReader
{
public:
    /// @p unreadBytes returns the number of received bytes that the HTTP session still buffers.
    BodyReader(std::istream &in, RecordingSocketImpl &socket, Framing framing, std::int64_t length, std::function<int()> unreadBytes);

    /// Reads up to @p size bytes and returns their number; state() then tells whether the body has ended and how.
    std::size_t read(char *buffer, std::size_t size);
    [[nodiscard]] BodyState state() const;
    [[nodiscard]] Framing framing() const;
    /// Declared length; FixedLength only.
    [[nodiscard]] std::int64_t length() const;
    [[nodiscard]] std::int64_t bytesRead() const;

private:
    [[nodiscard]] BodyState stateAtEndOfStream() const;

    std::istream &in_;
    RecordingSocketImpl &socket_;
    const Framing framing_;
    const std::int64_t length_;
    const std::function<int()> unreadBytes_;
    std::int64_t bytesRead_ = 0;
    BodyState state_ = BodyState::NeedsMore;
};

} // namespace Wasabistair::Http
