#include <doctest/doctest.h>

#include <steering/clientblockmap.h>

#include <rapidcheck.h>

#include <map>

using namespace Wasabistair::Steering;

namespace {

/// Reference model: longest matching prefix by a linear scan of all blocks.
std::optional<std::uint16_t> siteByLinearScan(const std::vector<ClientBlock> &blocks, const std::vector<Site> &sites, std::uint32_t address)
{
    const ClientBlock *best = nullptr;
    for (const ClientBlock &block : blocks) {
        const std::uint32_t mask = block.prefixLength == 0 ? 0 : ~0U << (32 - block.prefixLength);
        if ((address & mask) == block.address && (!best || block.prefixLength > best->prefixLength)) {
            best = &block;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < sites.size(); ++i) {
        if (sites[i].name == best->site) {
            return static_cast<std::uint16_t>(i);
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("clientBlockMap_randomNestedBlocks_matchesLinearScan")
{
    CHECK(rc::check([] {
        const std::vector<Site> sites = {{"a", "r", {"z"}}, {"b", "r", {"z"}}, {"c", "r", {"z"}}};
        // Addresses with few distinct high bits make nested and adjacent blocks likely.
        std::map<std::pair<std::uint32_t, int>, ClientBlock> unique;
        const int count = *rc::gen::inRange(0, 40);
        for (int i = 0; i < count; ++i) {
            const int length = *rc::gen::element(0, 1, 2, 8, 9, 15, 16, 17, 24, 31, 32);
            const std::uint32_t raw = (*rc::gen::element(0U, 10U, 11U, 127U, 255U) << 24) | (*rc::gen::inRange(0U, 4U) << 15) | *rc::gen::inRange(0U, 4U);
            const std::uint32_t mask = length == 0 ? 0 : ~0U << (32 - length);
            unique[{raw & mask, length}] = {raw & mask, static_cast<std::uint8_t>(length), sites[*rc::gen::inRange(0, 3)].name};
        }
        std::vector<ClientBlock> blocks;
        for (const auto &[key, block] : unique) {
            blocks.push_back(block);
        }
        const ClientBlockMap map(blocks, sites);
        std::vector<std::uint32_t> addresses = {0, 0xffffffff, 0x0a000000, 0x7f000001};
        for (const ClientBlock &block : blocks) {
            addresses.insert(addresses.end(),
                {block.address, block.address - 1, block.address + 1, block.address | (block.prefixLength == 32 ? 0 : ~0U >> block.prefixLength)});
        }
        for (const std::uint32_t address : addresses) {
            RC_ASSERT(map.site(address) == siteByLinearScan(blocks, sites, address));
        }
    }));
}

TEST_CASE("parsePrefix_malformedTexts_areRejected")
{
    std::uint32_t address = 0;
    std::uint8_t length = 0;
    for (const char *text : {"", "1.2.3.4", "1.2.3/8", "1.2.3.4/33", "256.0.0.0/8", "10.0.0.1/8", "10.0.0.0/", "10.0.0.0/8x", "a.b.c.d/8", "10.0.0.0.0/8"}) {
        CHECK_FALSE(parsePrefix(text, address, length));
    }
    CHECK(parsePrefix("10.0.0.0/8", address, length));
    CHECK(prefixToString(address, length) == "10.0.0.0/8");
}
