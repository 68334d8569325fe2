#include "clientblockmap.h"

#include <algorithm>
#include <unordered_map>

namespace Wasabistair::Steering {

namespace {

constexpr std::uint64_t addressSpace = std::uint64_t{1} << 32;
constexpr int indexShift = 16;
constexpr std::size_t indexSize = std::size_t{1} << 16;

struct Range {
    std::uint64_t start;
    std::uint64_t end;
    std::uint16_t site;
};

std::vector<Range> sortedRanges(const std::vector<ClientBlock> &blocks, const std::vector<Site> &sites)
{
    std::unordered_map<std::string, std::uint16_t> indices;
    for (std::size_t i = 0; i < sites.size(); ++i) {
        indices.emplace(sites[i].name, static_cast<std::uint16_t>(i));
    }
    std::vector<Range> ranges;
    ranges.reserve(blocks.size());
    for (const ClientBlock &block : blocks) {
        const auto found = indices.find(block.site);
        if (found == indices.end()) {
            continue;
        }
        const std::uint64_t size = addressSpace >> block.prefixLength;
        ranges.push_back({block.address, block.address + size, found->second});
    }
    std::sort(ranges.begin(), ranges.end(),
        [](const Range &left, const Range &right) { return left.start != right.start ? left.start < right.start : left.end > right.end; });
    return ranges;
}

} // namespace

ClientBlockMap::ClientBlockMap(const std::vector<ClientBlock> &blocks, const std::vector<Site> &sites)
{
    if (blocks.empty()) {
        return;
    }
    append(0, noSite);
    std::vector<Range> enclosing;
    const auto closeRangesUntil = [&](std::uint64_t position) {
        while (!enclosing.empty() && enclosing.back().end <= position) {
            const std::uint64_t end = enclosing.back().end;
            enclosing.pop_back();
            append(end, enclosing.empty() ? noSite : enclosing.back().site);
        }
    };
    for (const Range &range : sortedRanges(blocks, sites)) {
        closeRangesUntil(range.start);
        append(range.start, range.site);
        enclosing.push_back(range);
    }
    closeRangesUntil(addressSpace);
    starts_.shrink_to_fit();
    sites_.shrink_to_fit();
    buildIndex();
}

void ClientBlockMap::append(std::uint64_t start, std::uint16_t site)
{
    if (start >= addressSpace) {
        return;
    }
    if (!starts_.empty() && starts_.back() == start) {
        sites_.back() = site;
        return;
    }
    if (!sites_.empty() && sites_.back() == site) {
        return;
    }
    starts_.push_back(static_cast<std::uint32_t>(start));
    sites_.push_back(site);
}

void ClientBlockMap::buildIndex()
{
    index_.assign(indexSize + 1, static_cast<std::uint32_t>(starts_.size()));
    std::size_t range = 0;
    for (std::size_t bucket = 0; bucket < indexSize; ++bucket) {
        const auto first = static_cast<std::uint32_t>(bucket << indexShift);
        while (range < starts_.size() && starts_[range] < first) {
            ++range;
        }
        index_[bucket] = static_cast<std::uint32_t>(range);
    }
}

std::optional<std::uint16_t> ClientBlockMap::site(std::uint32_t address) const
{
    if (starts_.empty()) {
        return std::nullopt;
    }
    const std::size_t bucket = address >> indexShift;
    const auto first = starts_.begin() + index_[bucket];
    const auto last = starts_.begin() + index_[bucket + 1];
    const auto next = std::upper_bound(first, last, address);
    const std::size_t range = static_cast<std::size_t>(next - starts_.begin()) - 1;
    const std::uint16_t site = sites_[range];
    return site == noSite ? std::nullopt : std::optional(site);
}

std::size_t ClientBlockMap::rangeCount() const
{
    return starts_.size();
}

} // namespace Wasabistair::Steering
