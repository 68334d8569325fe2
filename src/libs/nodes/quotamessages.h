#pragma once

#include <steering/quotamember.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Wasabistair::Nodes {

/// Longest datagram of this format.
inline constexpr std::size_t maxQuotaDatagramBytes = 8 * 1024;

/// Encodes @p message as datagrams that each can be read alone.
[[nodiscard]] std::vector<std::vector<std::uint8_t>> encodeQuotaMessage(const Steering::QuotaMessage &message);
/// Returns nothing if the bytes are not a datagram of this format.
[[nodiscard]] std::optional<Steering::QuotaMessage> decodeQuotaMessage(const std::uint8_t *bytes, std::size_t size);

} // namespace Wasabistair::Nodes
