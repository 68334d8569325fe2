#pragma once

#include <Poco/Net/MessageHeader.h>

#include <string>
#include <utility>
#include <vector>

namespace Wasabistair::Http {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Header of rejections that states whether the request may have been executed: "not-run" or "unknown".
extern const std::string runHeader;
/// Header with the time left for a request in milliseconds; sent to upstreams, and accepted from callers.
extern const std::string deadlineHeader;

/// True for a token of RFC 9110 section 5.6.2.
[[nodiscard]] bool isToken(const std::string &text);
/// True when @p text has no control characters other than horizontal tab.
[[nodiscard]] bool isFieldValue(const std::string &text);

/// Returns the headers to forward. Leaves out hop-by-hop headers (RFC 9110 section 7.6.1), headers that the Connection header names,
/// framing headers, and the two headers of this system.
[[nodiscard]] HeaderList endToEndHeaders(const Poco::Net::MessageHeader &headers);

/// All values of a header, in order of appearance; names compare without case.
[[nodiscard]] std::vector<std::string> headerValues(const Poco::Net::MessageHeader &headers, const std::string &name);

} // namespace Wasabistair::Http
