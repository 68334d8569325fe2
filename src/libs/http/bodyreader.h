#pragma once

#include "recordingsocket.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <istream>

namespace Wasabistair::Http {

enum class Framing {
    /// No body at all.
    None,
    FixedLength,
    Chunked,
    /// The body ends with the connection; its end cannot be told from a cut.
    UntilClose,
};

/// How a body is delimited. Length counts for FixedLength only.
struct BodyFrame {
    Framing framing = Framing::None;
    std::int64_t length = 0;

    auto operator<=>(const BodyFrame &) const = default;
};

enum class BodyState {
    More,
    /// The body ended as its framing says.
    Complete,
    /// The body was cut, malformed, or came too late.
    Cut,
};

/// Reads a body and tells a complete end from every other end.
class BodyReader
{
public:
    /// @p unread returns how many received bytes the HTTP session still holds.
    BodyReader(std::istream &in, RecordingSocketImpl &socket, Framing framing, std::int64_t length, std::function<int()> unread);

    /// Reads up to @p size bytes; returns the number read. Look at state() afterwards.
    std::size_t read(char *buffer, std::size_t size);
    [[nodiscard]] BodyState state() const;
    [[nodiscard]] Framing framing() const;
    /// Declared length; FixedLength only.
    [[nodiscard]] std::int64_t length() const;
    [[nodiscard]] std::int64_t bytesRead() const;

private:
    [[nodiscard]] BodyState stateAtEnd() const;

    std::istream &in_;
    RecordingSocketImpl &socket_;
    const Framing framing_;
    const std::int64_t length_;
    const std::function<int()> unread_;
    std::int64_t bytesRead_ = 0;
    BodyState state_ = BodyState::More;
};

} // namespace Wasabistair::Http
