#pragma once

#include "problem.h"

#include <http/bodyreader.h>

#include <Poco/Net/HTTPRequest.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Wasabistair::Callers {

/// Framing of a request's body as its header declares it.
struct RequestFraming {
    Http::Framing framing = Http::Framing::None;
    std::int64_t length = 0;
};

/// Refuses every request whose meaning two parsers could see differently: both lengths, several
/// lengths, unknown encodings, odd names and values, odd targets, a missing or repeated host.
[[nodiscard]] std::optional<ProblemKind> checkRequest(const Poco::Net::HTTPRequest &request);

/// Framing of a request that passed checkRequest().
[[nodiscard]] RequestFraming requestFraming(const Poco::Net::HTTPRequest &request);

/// Host of a request without port, in lower case.
[[nodiscard]] std::string requestHost(const Poco::Net::HTTPRequest &request);

} // namespace Wasabistair::Callers
