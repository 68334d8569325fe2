#include "requestcheck.h"

#include <http/headers.h>

#include <Poco/String.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Wasabistair::Callers {

namespace {

using Poco::Net::HTTPRequest;

// Any number of 18 decimal digits fits into std::int64_t.
constexpr std::size_t maxLengthDigits = 18;

bool isValidLength(const std::string &text)
{
    return !text.empty() && text.size() <= maxLengthDigits && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
}

bool isValidTarget(const std::string &target)
{
    const auto visible = [](unsigned char c) { return c > ' ' && c < 127 && c != '#' && c != '"' && c != '<' && c != '>' && c != '\\'; };
    return !target.empty() && target.front() == '/' && std::all_of(target.begin(), target.end(), visible);
}

bool isValidHost(const std::string &host)
{
    const auto allowed = [](unsigned char c) { return std::isalnum(c) != 0 || c == '.' || c == '-' || c == ':' || c == '[' || c == ']' || c == '_'; };
    return !host.empty() && std::all_of(host.begin(), host.end(), allowed);
}

bool hasValidFields(const HTTPRequest &request)
{
    return std::all_of(request.begin(), request.end(), [](const auto &field) { return Http::isToken(field.first) && Http::isFieldValue(field.second); });
}

bool isFramingAmbiguous(const HTTPRequest &request)
{
    const auto lengths = Http::headerValues(request, HTTPRequest::CONTENT_LENGTH);
    const auto encodings = Http::headerValues(request, HTTPRequest::TRANSFER_ENCODING);
    if (lengths.size() > 1 || encodings.size() > 1 || (!lengths.empty() && !encodings.empty())) {
        return true;
    }
    if (!encodings.empty()) {
        const bool oldVersion = request.getVersion() == HTTPRequest::HTTP_1_0;
        return oldVersion || encodings.front() != "chunked";
    }
    return !lengths.empty() && !isValidLength(lengths.front());
}

} // namespace

std::optional<ProblemKind> checkRequest(const HTTPRequest &request)
{
    const bool knownVersion = request.getVersion() == HTTPRequest::HTTP_1_1 || request.getVersion() == HTTPRequest::HTTP_1_0;
    if (!knownVersion || !Http::isToken(request.getMethod()) || !isValidTarget(request.getURI()) || !hasValidFields(request)) {
        return ProblemKind::MalformedRequest;
    }
    const auto hosts = Http::headerValues(request, HTTPRequest::HOST);
    if (hosts.size() != 1 || !isValidHost(hosts.front())) {
        return ProblemKind::MalformedRequest;
    }
    if (isFramingAmbiguous(request)) {
        return ProblemKind::AmbiguousFraming;
    }
    const std::string &method = request.getMethod();
    if (method == HTTPRequest::HTTP_CONNECT || method == HTTPRequest::HTTP_TRACE) {
        return ProblemKind::MethodNotAllowed;
    }
    return std::nullopt;
}

Http::BodyFraming requestFraming(const HTTPRequest &request)
{
    if (request.has(HTTPRequest::TRANSFER_ENCODING)) {
        return {Http::Framing::Chunked, 0};
    }
    const std::string length = request.get(HTTPRequest::CONTENT_LENGTH, "0");
    std::int64_t value = 0;
    std::from_chars(length.data(), length.data() + length.size(), value);
    return {value == 0 ? Http::Framing::None : Http::Framing::FixedLength, value};
}

std::string requestHost(const HTTPRequest &request)
{
    const std::string host = Poco::toLower(request.getHost());
    return host.substr(0, host.find(':'));
}

std::string requestPath(const HTTPRequest &request)
{
    const std::string &target = request.getURI();
    return target.substr(0, target.find('?'));
}

} // namespace Wasabistair::Callers
