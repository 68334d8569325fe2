#include "bodydecoder.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace Wasabistair::Http {

namespace {

constexpr int hexadecimalBase = 16;
// Applies to chunk size lines with their extensions and to trailer lines.
constexpr std::size_t maxLineBytes = 4096;
constexpr std::size_t maxChunkSizeDigits = 15;
// Trailers after a chunked body are discarded; without a limit an endless series of them would hold the connection.
constexpr int maxTrailers = 64;

/// Returns the line at @p position without its CRLF and moves @p position behind it; nullopt while the line is incomplete.
std::optional<std::string> takeLine(const std::string &input, std::size_t &position)
{
    const std::size_t end = input.find("\r\n", position);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::string line = input.substr(position, end - position);
    position = end + 2;
    return line;
}

} // namespace

BodyDecoder::BodyDecoder(const BodyFraming &frame)
    : framing_(frame.framing)
    , remainingBytes_(frame.framing == Framing::FixedLength ? static_cast<std::uint64_t>(frame.length) : 0)
    , state_(frame.framing == Framing::None || (frame.framing == Framing::FixedLength && frame.length == 0) ? BodyState::Complete : BodyState::NeedsMore)
{}

BodyState BodyDecoder::feed(std::string &input, std::string &body)
{
    if (state_ != BodyState::NeedsMore) {
        return state_;
    }
    switch (framing_) {
    case Framing::None:
        break;
    case Framing::UntilClose:
        body += input;
        input.clear();
        break;
    case Framing::FixedLength: {
        const std::size_t count = std::min<std::uint64_t>(remainingBytes_, input.size());
        body.append(input, 0, count);
        input.erase(0, count);
        remainingBytes_ -= count;
        state_ = remainingBytes_ == 0 ? BodyState::Complete : BodyState::NeedsMore;
        break;
    }
    case Framing::Chunked:
        return decodeChunks(input, body);
    }
    return state_;
}

BodyState BodyDecoder::end()
{
    if (state_ == BodyState::NeedsMore) {
        state_ = framing_ == Framing::UntilClose ? BodyState::Complete : BodyState::Incomplete;
    }
    return state_;
}

BodyState BodyDecoder::decodeChunks(std::string &input, std::string &body)
{
    std::size_t position = 0;
    while (state_ == BodyState::NeedsMore && parseChunkPart(input, position, body)) {}
    if (state_ == BodyState::NeedsMore && part_ != ChunkPart::Data && input.size() - position > maxLineBytes) {
        state_ = BodyState::Incomplete;
    }
    input.erase(0, position);
    return state_;
}

bool BodyDecoder::parseChunkPart(std::string &input, std::size_t &position, std::string &body)
{
    if (part_ == ChunkPart::Data) {
        const std::size_t count = std::min<std::uint64_t>(remainingBytes_, input.size() - position);
        body.append(input, position, count);
        position += count;
        remainingBytes_ -= count;
        part_ = remainingBytes_ == 0 ? ChunkPart::DataEnd : ChunkPart::Data;
        return remainingBytes_ == 0;
    }
    const auto line = takeLine(input, position);
    if (!line) {
        return false;
    }
    if (part_ == ChunkPart::Size) {
        if (!readChunkSize(*line)) {
            state_ = BodyState::Incomplete;
            return false;
        }
        part_ = remainingBytes_ == 0 ? ChunkPart::Trailer : ChunkPart::Data;
        return true;
    }
    if (part_ == ChunkPart::DataEnd) {
        state_ = line->empty() ? BodyState::NeedsMore : BodyState::Incomplete;
        part_ = ChunkPart::Size;
        return line->empty();
    }
    const bool tooMany = ++trailerCount_ > maxTrailers;
    state_ = line->empty() ? BodyState::Complete : tooMany ? BodyState::Incomplete : BodyState::NeedsMore;
    return !tooMany;
}

bool BodyDecoder::readChunkSize(const std::string &line)
{
    const std::string digits = line.substr(0, line.find_first_of("; \t"));
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), remainingBytes_, hexadecimalBase);
    return !digits.empty() && digits.size() <= maxChunkSizeDigits && error == std::errc() && end == digits.data() + digits.size();
}

} // namespace Wasabistair::Http
