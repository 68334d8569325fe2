#pragma once

#include <Poco/Net/MessageHeader.h>

#include <string>
#include <utility>
#include <vector>

namespace Wasabistair::Http {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Header by which this system says whether a refused request was run: "not-run" or "unknown".
extern const std::string runHeader;
/// Remaining time for a request in milliseconds; towards upstreams, and from callers that set one.
extern const std::string deadlineHeader;

/// True for a token of RFC 9110 section 5.6.2.
[[nodiscard]] bool isToken(const std::string &text);
/// True when a field value has no control characters but horizontal tab.
[[nodiscard]] bool isFieldValue(const std::string &text);

/// Copies all headers but those that concern one connection only (RFC 9110 section 7.6.1), those that
/// the Connection header names, framing headers and this system's own.
[[nodiscard]] HeaderList endToEndHeaders(const Poco::Net::MessageHeader &headers);

/// All values of one header, in order.
[[nodiscard]] std::vector<std::string> headerValues(const Poco::Net::MessageHeader &headers, const std::string &name);

} // namespace Wasabistair::Http
