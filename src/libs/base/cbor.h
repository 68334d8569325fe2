#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Wasabistair::Base {

/// Parses @p bytes as exactly one CBOR value nested at most @p maxDepth levels. Returns nullopt for malformed or deeper input and for
/// trailing bytes; malformed input never throws.
[[nodiscard]] std::optional<nlohmann::json> readCbor(const std::uint8_t *bytes, std::size_t size, int maxDepth);

} // namespace Wasabistair::Base
