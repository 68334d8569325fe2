#pragma once

#include <cstdint>
#include <string_view>

namespace Wasabistair::Steering {

/// Stable 64-bit hash (XXH3); the same on every VM and in every release.
[[nodiscard]] std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/// Mixes the bits of @p value (finalizer of SplitMix64); cheaper than hashing text again.
[[nodiscard]] std::uint64_t mixedHash(std::uint64_t value);

} // namespace Wasabistair::Steering
