#pragma once

#include "bodydecoder.h"
#include "bytestream.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <compare>
#include <optional>
#include <string>

namespace Wasabistair::Http {

/// Removes one complete message head from the start of @p input and returns it; nullopt while it is incomplete.
[[nodiscard]] std::optional<std::string> takeHead(std::string &input);

/// Parse a message head into the second argument; false when it is malformed.
[[nodiscard]] bool parseRequest(const std::string &head, Poco::Net::HTTPRequest &request);
[[nodiscard]] bool parseResponse(const std::string &head, Poco::Net::HTTPResponse &response);

/// Determines how the body of an answer is delimited (RFC 9112 section 6.3). Returns nullopt when the framing headers are repeated,
/// contradictory or invalid.
[[nodiscard]] std::optional<BodyFraming> responseFraming(const std::string &method, const Poco::Net::HTTPResponse &response);

[[nodiscard]] std::string serialize(const Poco::Net::HTTPRequest &request);
[[nodiscard]] std::string serialize(const Poco::Net::HTTPResponse &response);

} // namespace Wasabistair::Http
