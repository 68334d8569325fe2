#pragma once

#include <steering/objects.h>

#include <nlohmann/json.hpp>

#include <random>
#include <set>
#include <vector>

namespace Wasabistair::Benchmarks {

/// Returns @p count distinct client blocks, /20 to /24, spread at random over @p sites with a fixed seed.
inline std::vector<Steering::ClientBlock> makeBlocks(std::size_t count, const std::vector<Steering::Site> &sites)
{
    std::mt19937 random(20261204);
    std::set<std::pair<std::uint32_t, int>> seen;
    std::vector<Steering::ClientBlock> blocks;
    while (blocks.size() < count) {
        const int length = 20 + static_cast<int>(random() % 5);
        const std::uint32_t address = static_cast<std::uint32_t>(random()) & (~0U << (32 - length));
        if (seen.emplace(address, length).second) {
            blocks.push_back({address, static_cast<std::uint8_t>(length), sites[random() % sites.size()].name});
        }
    }
    return blocks;
}

/// Objects of a deployment of full size without client blocks: 3 regions, 10 zones, 72 sites.
inline Steering::ObjectSet makeFullSizeObjects()
{
    Steering::ObjectSet set;
    const std::vector<std::string> regions = {"r0", "r1", "r2"};
    const std::vector<int> zones = {4, 3, 3};
    Steering::Service service;
    service.name = "s";
    service.hosts = {"h"};
    service.pathPrefix = "/";
    service.deadlineMs = 10'000;
    service.progressTimeoutMs = 5'000;
    service.maxAttempts = 3;
    service.retryPercent = 10;
    service.lookupMaxAgeSeconds = 5;
    set.services = {service};
    Steering::Fleet fleet{"fleet", {}};
    for (std::size_t i = 0; i < regions.size(); ++i) {
        std::vector<std::string> names;
        for (int zone = 0; zone < zones[i]; ++zone) {
            names.push_back(regions[i] + "-z" + std::to_string(zone));
        }
        set.places.push_back({regions[i] + "-place", "s", regions[i], names, 100, 50, 50, 4'000, 75, 0});
        fleet.regions.push_back({regions[i], i == 0 ? 272 : 204});
        for (int site = 0; site < 24; ++site) {
            set.sites.push_back({regions[i] + "-site" + std::to_string(site), regions[i], {names[static_cast<std::size_t>(site) % names.size()]}});
        }
    }
    set.fleets = {fleet};
    set.links = {{"a", {"r0", "r1"}, 4'000, 20, 50}, {"b", {"r0", "r2"}, 4'000, 30, 50}, {"c", {"r1", "r2"}, 4'000, 20, 50}};
    return Steering::objectsFromJson(Steering::objectsToJson(set));
}

} // namespace Wasabistair::Benchmarks
