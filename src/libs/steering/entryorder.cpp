#include "entryorder.h"

#include "hash.h"

#include <algorithm>
#include <array>

namespace Wasabistair::Steering {

namespace {

constexpr std::uint32_t callerGroupMask = 0xffffff00;
/// VMs of the caller's site and region in one answer; the rest are fallbacks in other regions.
constexpr std::size_t maxNearVms = 3;

struct WeightedVm {
    std::uint64_t weight;
    std::uint32_t vm;
};

/// Appends the @p limit candidates with the highest hash weights for @p group to @p out, highest first.
void appendHighestWeights(
    const RoutingTable &table, const std::vector<std::uint32_t> &candidates, std::uint32_t group, std::size_t limit, std::vector<std::uint32_t> &out)
{
    std::array<WeightedVm, maxEntryVmsPerAnswer> best{};
    std::size_t count = 0;
    for (const std::uint32_t vm : candidates) {
        const WeightedVm candidate{hashOf(table.entryVms[vm].id, group), vm};
        std::size_t position = count;
        while (position > 0 && best[position - 1].weight < candidate.weight) {
            --position;
        }
        if (position >= limit) {
            continue;
        }
        count = std::min(count + 1, limit);
        std::move_backward(best.begin() + position, best.begin() + count - 1, best.begin() + count);
        best[position] = candidate;
    }
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(best[i].vm);
    }
}

} // namespace

EntryOrder rankEntryVms(const RoutingTable &table, std::uint32_t address)
{
    EntryOrder order;
    order.site = table.configuration->blocks.site(address);
    const SiteEntry &site = order.site ? table.sites[*order.site] : table.fallbackSite;
    const std::uint32_t group = address & callerGroupMask;
    appendHighestWeights(table, site.inSite, group, maxNearVms, order.vms);
    if (order.vms.size() < maxNearVms) {
        appendHighestWeights(table, site.inRegion, group, maxNearVms - order.vms.size(), order.vms);
    }
    if (!site.elsewhere.empty()) {
        appendHighestWeights(table, site.elsewhere, group, maxEntryVmsPerAnswer - order.vms.size(), order.vms);
    }
    return order;
}

} // namespace Wasabistair::Steering
