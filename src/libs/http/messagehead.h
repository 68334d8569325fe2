#pragma once

#include "bodydecoder.h"
#include "bytestream.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <compare>
#include <optional>
#include <string>

namespace Wasabistair::Http {

/// Removes a whole message head from @p input; nothing while it is not whole.
[[nodiscard]] std::optional<std::string> takeHead(std::string &input);

/// Parse a head; false when it is malformed.
[[nodiscard]] bool parseRequest(const std::string &head, Poco::Net::HTTPRequest &request);
[[nodiscard]] bool parseResponse(const std::string &head, Poco::Net::HTTPResponse &response);

/// How an answer's body is delimited (RFC 9112 section 6.3); nothing when the head contradicts itself.
[[nodiscard]] std::optional<BodyFrame> responseFrame(const std::string &method, const Poco::Net::HTTPResponse &response);

[[nodiscard]] std::string serialize(const Poco::Net::HTTPRequest &request);
[[nodiscard]] std::string serialize(const Poco::Net::HTTPResponse &response);

} // namespace Wasabistair::Http
