#pragma once

#include "objects.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Wasabistair::Steering {

/// Maps an IPv4 address to the index of a site by longest matching prefix.
/// Nested prefixes are flattened into disjoint ranges, so that a look-up is one binary search.
class BlockMap
{
public:
    BlockMap() = default;
    /// @p blocks name sites of @p sites; a block with an unknown site is left out.
    BlockMap(const std::vector<ClientBlock> &blocks, const std::vector<Site> &sites);

    /// Index of the site, or nothing when no block covers @p address.
    [[nodiscard]] std::optional<std::uint16_t> site(std::uint32_t address) const;
    [[nodiscard]] std::size_t rangeCount() const;

private:
    void append(std::uint64_t start, std::uint16_t site);
    void buildIndex();

    static constexpr std::uint16_t noSite = UINT16_MAX;

    std::vector<std::uint32_t> starts_;
    std::vector<std::uint16_t> sites_;
    // First range of each /16, so that the search touches few cache lines.
    std::vector<std::uint32_t> index_;
};

} // namespace Wasabistair::Steering
