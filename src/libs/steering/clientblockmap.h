#pragma once

#include "objects.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Wasabistair::Steering {

/// Maps an IPv4 address to the index of a site by longest matching prefix.
/// Nested prefixes are flattened into disjoint ranges, so that site() is one binary search.
class ClientBlockMap
{
public:
    ClientBlockMap() = default;
    /// Site indices refer to @p sites; a block whose site is not among them is ignored.
    ClientBlockMap(const std::vector<ClientBlock> &blocks, const std::vector<Site> &sites);

    /// Index of the site, or nothing when no block covers @p address.
    [[nodiscard]] std::optional<std::uint16_t> site(std::uint32_t address) const;
    [[nodiscard]] std::size_t rangeCount() const;

private:
    /// Starts a range at @p start, unless the previous range has the same site; replaces a range that starts there already.
    void append(std::uint64_t start, std::uint16_t site);
    void buildIndex();

    static constexpr std::uint16_t noSite = UINT16_MAX;

    std::vector<std::uint32_t> starts_;
    std::vector<std::uint16_t> sites_;
    // First range that starts in or after each /16; limits the binary search to a few cache lines.
    std::vector<std::uint32_t> index_;
};

} // namespace Wasabistair::Steering
