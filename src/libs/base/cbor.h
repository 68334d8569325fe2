#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Wasabistair::Base {

/// Reads one CBOR value that takes all of @p bytes and nests no deeper than @p maxDepth; nothing when the bytes are none.
/// Never throws for what they hold.
[[nodiscard]] std::optional<nlohmann::json> readCbor(const std::uint8_t *bytes, std::size_t size, int maxDepth);

} // namespace Wasabistair::Base
