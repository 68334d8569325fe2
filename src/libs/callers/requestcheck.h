#pragma once

#include "problem.h"

#include <http/bodyreader.h>

#include <Poco/Net/HTTPRequest.h>

#include <optional>
#include <string>

namespace Wasabistair::Callers {

/// Refuses every request whose meaning two parsers could see differently: both lengths, several
/// lengths, unknown encodings, odd names and values, odd targets, a missing or repeated host.
[[nodiscard]] std::optional<ProblemKind> checkRequest(const Poco::Net::HTTPRequest &request);

/// Framing of a request that passed checkRequest().
[[nodiscard]] Http::BodyFrame requestFraming(const Poco::Net::HTTPRequest &request);

/// Host of a request without port, in lower case.
[[nodiscard]] std::string requestHost(const Poco::Net::HTTPRequest &request);

/// Path of a request's target, without its query.
[[nodiscard]] std::string requestPath(const Poco::Net::HTTPRequest &request);

} // namespace Wasabistair::Callers
