#include "headers.h"

#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <cctype>
#include <string_view>

namespace Wasabistair::Http {

namespace {

constexpr std::string_view tokenPunctuation = "!#$%&'*+-.^_`|~";

const std::vector<std::string> hopByHopAndFramingHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
};

bool containsName(const std::vector<std::string> &names, const std::string &name)
{
    return std::any_of(names.begin(), names.end(), [&](const std::string &candidate) { return Poco::icompare(candidate, name) == 0; });
}

std::vector<std::string> connectionOptions(const Poco::Net::MessageHeader &headers)
{
    std::vector<std::string> names;
    for (const std::string &value : headerValues(headers, "Connection")) {
        const Poco::StringTokenizer tokens(value, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
        names.insert(names.end(), tokens.begin(), tokens.end());
    }
    return names;
}

} // namespace

const std::string runHeader = "Wasabistair-Run";
const std::string deadlineHeader = "Wasabistair-Deadline-Ms";

bool isToken(const std::string &text)
{
    const auto isTokenCharacter = [](unsigned char c) { return std::isalnum(c) != 0 || tokenPunctuation.find(static_cast<char>(c)) != std::string_view::npos; };
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(const std::string &text)
{
    constexpr unsigned char del = 127;
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return (c >= ' ' && c != del) || c == '\t'; });
}

HeaderList endToEndHeaders(const Poco::Net::MessageHeader &headers)
{
    const std::vector<std::string> options = connectionOptions(headers);
    HeaderList list;
    for (const auto &[name, value] : headers) {
        const bool isInternal = Poco::icompare(name, runHeader) == 0 || Poco::icompare(name, deadlineHeader) == 0;
        if (!isInternal && !containsName(hopByHopAndFramingHeaders, name) && !containsName(options, name)) {
            list.emplace_back(name, value);
        }
    }
    return list;
}

std::vector<std::string> headerValues(const Poco::Net::MessageHeader &headers, const std::string &name)
{
    std::vector<std::string> values;
    for (const auto &[key, value] : headers) {
        if (Poco::icompare(key, name) == 0) {
            values.push_back(value);
        }
    }
    return values;
}

} // namespace Wasabistair::Http
