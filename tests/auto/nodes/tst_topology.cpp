#include <doctest/doctest.h>

#include <nodes/topology.h>

#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace Wasabistair;
using namespace Wasabistair::Nodes;

namespace {

std::vector<Steering::Vm> fleetOf(int zones, int vmsPerZone)
{
    std::vector<Steering::Vm> vms;
    for (int zone = 0; zone < zones; ++zone) {
        for (int i = 0; i < vmsPerZone; ++i) {
            const std::string name = "z" + std::to_string(zone);
            vms.push_back({name + "-" + std::to_string(i), Steering::VmKind::Entry, Steering::VmState::Live, "h", 1, 2, "r", name, "", 0});
        }
    }
    return vms;
}

std::size_t reachableCount(const std::vector<Steering::Vm> &vms, const std::set<std::string> &dead)
{
    std::map<std::string, std::set<std::string>> links;
    for (const Steering::Vm &vm : vms) {
        if (dead.contains(vm.id)) {
            continue;
        }
        for (const std::string &peer : desiredPeers(vms, vm, dead)) {
            links[vm.id].insert(peer);
            links[peer].insert(vm.id);
        }
    }
    std::set<std::string> seen;
    std::vector<std::string> pending;
    for (const Steering::Vm &vm : vms) {
        if (!dead.contains(vm.id)) {
            pending = {vm.id};
            break;
        }
    }
    while (!pending.empty()) {
        const std::string node = pending.back();
        pending.pop_back();
        if (seen.insert(node).second) {
            pending.insert(pending.end(), links[node].begin(), links[node].end());
        }
    }
    return seen.size();
}

} // namespace

TEST_CASE("topology_anyVmsDead_connectsAllOthers")
{
    CHECK(rc::check([] {
        const auto vms = fleetOf(*rc::gen::inRange(1, 8), *rc::gen::inRange(1, 8));
        std::set<std::string> dead;
        for (const Steering::Vm &vm : vms) {
            if (*rc::gen::inRange(0, 3) == 0) {
                dead.insert(vm.id);
            }
        }
        if (dead.size() < vms.size()) {
            RC_ASSERT(reachableCount(vms, dead) == vms.size() - dead.size());
        }
    }));
}

TEST_CASE("topology_680VmsIn10Zones_linksPerVmStayBounded")
{
    const auto vms = fleetOf(10, 68);
    std::map<std::string, std::size_t> degree;
    for (const Steering::Vm &vm : vms) {
        for (const std::string &peer : desiredPeers(vms, vm, {})) {
            // Both ends of a link between relays list it as desired; count it once.
            const auto *other = &peer;
            const bool both = desiredPeers(vms, *std::find_if(vms.begin(), vms.end(), [&](const auto &v) { return v.id == *other; }), {}).contains(vm.id);
            if (!both || vm.id < peer) {
                ++degree[vm.id];
                ++degree[peer];
            }
        }
    }
    std::size_t ordinary = 0;
    for (const auto &[id, links] : degree) {
        ordinary += links == relaysPerZone ? 1 : 0;
        // A relay is connected to the VMs of its zone and to the relays of the other zones.
        CHECK(links <= 68 + 9 * relaysPerZone);
    }
    CHECK(ordinary == 680 - 10 * relaysPerZone);
}

TEST_CASE("reportGroups_zonesOfManySizes_haveOneCollectorEachAndEvenLoad")
{
    for (const int size : {1, 2, 9, 68}) {
        const std::vector<Steering::Vm> vms = fleetOf(1, size);
        std::map<std::size_t, int> members;
        for (const Steering::Vm &vm : vms) {
            ++members[reportGroupOf(vm.id)];
        }
        const std::vector<std::string> relays = relaysOf(vms, "z0", {});
        for (std::size_t group = 0; group < reportGroupCount; ++group) {
            CHECK(collectorOf(relays, group) == relays[group % relays.size()]);
        }
        if (size == 68) {
            CHECK(collectorOf(relays, 0) != collectorOf(relays, 1));
            // The bound is three standard deviations (4.1 each) below the mean of 68 tosses of a fair coin.
            CHECK(members[0] >= 22);
            CHECK(members[1] >= 22);
        }
    }
    CHECK(collectorOf({}, 0).empty());
}
