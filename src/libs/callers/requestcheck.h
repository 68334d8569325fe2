#pragma once

#include "problem.h"

#include <http/bodyreader.h>

#include <Poco/Net/HTTPRequest.h>

#include <optional>
#include <string>

namespace Wasabistair::Callers {

/// Returns the reason to reject @p request, or nothing. Rejects the methods CONNECT and TRACE, and every request that two parsers could interpret
/// differently: Content-Length together with Transfer-Encoding, repeated or invalid lengths, unsupported encodings, invalid field names and values, invalid
/// targets, a missing or repeated Host.
[[nodiscard]] std::optional<ProblemKind> checkRequest(const Poco::Net::HTTPRequest &request);

/// Framing of a request that passed checkRequest().
[[nodiscard]] Http::BodyFraming requestFraming(const Poco::Net::HTTPRequest &request);

/// Host of a request in lower case, without its port.
[[nodiscard]] std::string requestHost(const Poco::Net::HTTPRequest &request);

/// Path of a request's target, without the query.
[[nodiscard]] std::string requestPath(const Poco::Net::HTTPRequest &request);

} // namespace Wasabistair::Callers
