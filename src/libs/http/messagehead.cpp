#include "messagehead.h"

#include "headers.h"

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/String.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <string_view>

namespace Wasabistair::Http {

namespace {

constexpr int maxHeaderFields = 200;

constexpr std::string_view lineEnd = "\r\n";

/// Adds the fields in @p text, which ends with an empty line, to @p fields. Values are kept byte for byte, without the white space around them.
/// Returns false when a line is malformed (RFC 9112 section 5); folded lines count as such.
bool parseFields(std::string_view text, Poco::Net::MessageHeader &fields)
{
    for (int count = 0; text != lineEnd; ++count) {
        const std::size_t end = text.find(lineEnd);
        const std::string_view line = text.substr(0, end);
        const std::size_t colon = line.find(':');
        if (end == std::string_view::npos || colon == std::string_view::npos || count == maxHeaderFields) {
            return false;
        }
        const std::string name(line.substr(0, colon));
        const std::size_t valueBegin = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
        const std::size_t valueEnd = line.find_last_not_of(" \t") + 1;
        const std::string value(line.substr(valueBegin, valueEnd - std::min(valueBegin, valueEnd)));
        if (!isToken(name) || !isFieldValue(value)) {
            return false;
        }
        fields.add(name, value);
        text.remove_prefix(end + lineEnd.size());
    }
    return true;
}

/// POCO reads the start line only: it decodes encoded words in fields (RFC 2047), whose line breaks would then split the message.
template<typename Message>
bool parse(const std::string &head, Message &message)
{
    const std::size_t startLineBytes = head.find(lineEnd) + lineEnd.size();
    const std::string startLine = head.substr(0, startLineBytes) + std::string(lineEnd);
    if (startLine.find_first_of("\r\n") != startLineBytes - lineEnd.size()) {
        return false;
    }
    try {
        Poco::MemoryInputStream stream(startLine.data(), static_cast<std::streamsize>(startLine.size()));
        message.read(stream);
        return parseFields(std::string_view(head).substr(startLineBytes), message);
    } catch (const Poco::Exception &) {
        // Malformed input is expected, so the return value reports it.
        return false;
    }
}

template<typename Message>
std::string toText(const Message &message)
{
    std::ostringstream stream;
    message.write(stream);
    return stream.str();
}

/// Whether @p head begins with a status line (RFC 9112 section 4) of HTTP/1 whose status is defined: three digits, from 100 to 599.
bool hasValidStatusLine(std::string_view head)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t statusBegin = protocol.size() + 2;
    constexpr std::size_t statusEnd = statusBegin + 3;
    const auto isDigit = [&](std::size_t index) { return head[index] >= '0' && head[index] <= '9'; };
    if (head.size() <= statusEnd || !head.starts_with(protocol) || !isDigit(protocol.size()) || head[statusBegin - 1] != ' ') {
        return false;
    }
    const bool isDefined = head[statusBegin] >= '1' && head[statusBegin] <= '5' && isDigit(statusBegin + 1) && isDigit(statusBegin + 2);
    return isDefined && (head[statusEnd] == ' ' || head[statusEnd] == '\r');
}

std::optional<std::int64_t> parseLength(const std::string &text)
{
    std::int64_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    return error == std::errc() && end == text.data() + text.size() && length >= 0 ? std::optional(length) : std::nullopt;
}

} // namespace

std::optional<std::string> takeHead(std::string &input)
{
    // Skips empty lines before the request line, which RFC 9112 section 2.2 allows.
    const std::size_t start = std::min(input.find_first_not_of("\r\n"), input.size());
    const std::size_t end = input.find("\r\n\r\n", start);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    std::string head = input.substr(start, end + 4 - start);
    input.erase(0, end + 4);
    return head;
}

bool parseRequest(const std::string &head, Poco::Net::HTTPRequest &request)
{
    return parse(head, request);
}

bool parseResponse(const std::string &head, Poco::Net::HTTPResponse &response)
{
    return hasValidStatusLine(head) && parse(head, response);
}

std::optional<BodyFraming> responseFraming(const std::string &method, const Poco::Net::HTTPResponse &response)
{
    const int status = response.getStatus();
    const bool bodyless = method == Poco::Net::HTTPRequest::HTTP_HEAD || status < Poco::Net::HTTPResponse::HTTP_OK
        || status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT || status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    if (bodyless) {
        return BodyFraming{Framing::None, 0};
    }
    const auto lengths = headerValues(response, Poco::Net::HTTPMessage::CONTENT_LENGTH);
    const auto encodings = headerValues(response, Poco::Net::HTTPMessage::TRANSFER_ENCODING);
    if (lengths.size() > 1 || encodings.size() > 1 || (!lengths.empty() && !encodings.empty())) {
        return std::nullopt;
    }
    if (!encodings.empty()) {
        return Poco::icompare(encodings.front(), "chunked") == 0 ? std::optional(BodyFraming{Framing::Chunked, 0}) : std::nullopt;
    }
    if (lengths.empty()) {
        return BodyFraming{Framing::UntilClose, 0};
    }
    const auto length = parseLength(lengths.front());
    return length ? std::optional(BodyFraming{Framing::FixedLength, *length}) : std::nullopt;
}

std::string serialize(const Poco::Net::HTTPRequest &request)
{
    return toText(request);
}

std::string serialize(const Poco::Net::HTTPResponse &response)
{
    return toText(response);
}

} // namespace Wasabistair::Http
