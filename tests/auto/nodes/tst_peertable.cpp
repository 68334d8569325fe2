#include <doctest/doctest.h>

#include <nodes/peertable.h>
#include <nodes/topology.h>

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Wasabistair;
using namespace Wasabistair::Nodes;

namespace {

const std::string selfId = "z0-0";

Platform::VmList randomList(Platform::Version version)
{
    Platform::VmList list;
    list.version = version;
    for (int zone = 0; zone < 3; ++zone) {
        for (int i = 0; i < 5; ++i) {
            const std::string name = "z" + std::to_string(zone);
            const std::string id = name + "-" + std::to_string(i);
            const bool present = id == selfId ? *rc::gen::inRange(0, 10) > 0 : *rc::gen::arbitrary<bool>();
            if (present) {
                const auto kind = *rc::gen::inRange(0, 5) > 0 ? Steering::VmKind::Entry : Steering::VmKind::Upstream;
                list.vms.push_back({id, kind, Steering::VmState::Live, "h", 1, 2, "r", name, "", 0});
            }
        }
    }
    return list;
}

/// Reference implementation: computes each result from the list and the failures at every query, without a cache.
struct Reference {
    Platform::VmList list;
    std::map<std::string, int> failures;
    std::map<std::string, Base::MonotonicMs> listedSince;

    const Steering::Vm *find(const std::string &id) const
    {
        const auto found = std::find_if(list.vms.begin(), list.vms.end(), [&](const Steering::Vm &vm) { return vm.id == id; });
        return found == list.vms.end() ? nullptr : &*found;
    }

    void setList(const Platform::VmList &next, Base::MonotonicMs now)
    {
        list = next;
        for (const Steering::Vm &vm : list.vms) {
            if (vm.kind == Steering::VmKind::Entry) {
                listedSince.try_emplace(vm.id, now);
            }
        }
        std::erase_if(listedSince, [this](const auto &entry) { return !find(entry.first); });
        std::erase_if(failures, [this](const auto &entry) { return !find(entry.first); });
    }

    std::set<std::string> suspects() const
    {
        std::set<std::string> result;
        for (const auto &[id, count] : failures) {
            if (count >= PeerTable::failuresToSuspect) {
                result.insert(id);
            }
        }
        return result;
    }

    std::vector<std::string> members(Base::MonotonicMs milliseconds, Base::MonotonicMs now) const
    {
        std::vector<std::string> result;
        for (const auto &[id, listed] : listedSince) {
            if (find(selfId) && find(id)->zone == find(selfId)->zone && now - listed >= milliseconds) {
                result.push_back(id);
            }
        }
        return result;
    }
};

void compare(const PeerTable &peers, const Reference &reference, Base::MonotonicMs now)
{
    const Steering::Vm *own = reference.find(selfId);
    RC_ASSERT((peers.self() != nullptr) == (own != nullptr));
    RC_ASSERT(peers.suspects() == reference.suspects());
    RC_ASSERT(peers.zoneMembersListedFor(100, now) == reference.members(100, now));
    if (!own) {
        RC_ASSERT(peers.desired().empty());
        RC_ASSERT(peers.ownRelays().empty());
        return;
    }
    const auto desired = desiredPeers(reference.list.vms, *own, reference.suspects());
    auto dialTargets = desiredPeers(reference.list.vms, *own, {});
    dialTargets.insert(desired.begin(), desired.end());
    RC_ASSERT(peers.desired() == desired);
    RC_ASSERT(peers.dialTargets() == dialTargets);
    RC_ASSERT(peers.ownRelays() == relaysOf(reference.list.vms, own->zone, reference.suspects()));
    RC_ASSERT(peers.ownRelaysIgnoringSuspects() == relaysOf(reference.list.vms, own->zone, {}));
}

} // namespace

TEST_CASE("peerTable_randomListsAndFailures_agreesWithUncachedReference")
{
    CHECK(rc::check([] {
        PeerTable peers(selfId);
        Reference reference;
        Base::MonotonicMs now = 1'000;
        Platform::Version version = 0;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            now += *rc::gen::inRange(0, 80);
            const std::string id = "z" + std::to_string(*rc::gen::inRange(0, 3)) + "-" + std::to_string(*rc::gen::inRange(0, 5));
            switch (*rc::gen::inRange(0, 6)) {
            case 0: {
                const Platform::VmList list = randomList(++version);
                RC_ASSERT(peers.setList(list, now));
                reference.setList(list, now);
                break;
            }
            case 1:
                peers.connected(id);
                reference.failures[id] = 0;
                break;
            case 2:
                peers.connectionLost(id, now);
                reference.failures[id] = 1;
                break;
            case 3:
                peers.removeDial(id);
                reference.failures.erase(id);
                break;
            default:
                peers.dialFailed(id, now);
                ++reference.failures[id];
            }
            compare(peers, reference, now);
        }
    }));
}
