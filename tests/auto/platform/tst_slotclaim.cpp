#include <doctest/doctest.h>

#include <platform/slotclaim.h>
#include <standins/memorystore.h>

#include <rapidcheck.h>

#include <memory>
#include <set>

using namespace Wasabistair;
using namespace Wasabistair::Platform;
using Wasabistair::StandIns::ManualClock;
using Wasabistair::StandIns::MemoryStore;

namespace {

constexpr std::int64_t tickMs = 100;
constexpr std::int64_t refreshMs = 500;

Steering::Vm entryVm(const std::string &id)
{
    return {id, Steering::VmKind::Entry, Steering::VmState::Live, "h", 1, 2, "r0", "r0-a", "", 0};
}

struct SlotFixture {
    SlotFixture()
    {
        show({"a", "b", "c"});
        for (SlotClaim *claim : {&a, &b, &c}) {
            claim->setRivals(2);
        }
    }

    void show(const std::vector<std::string> &ids)
    {
        ++list.version;
        list.vms.clear();
        for (const std::string &id : ids) {
            list.vms.push_back(entryVm(id));
        }
    }

    /// Time passes for those of @p running, which hear the platform and try for the only slot; the others are paused.
    void pass(std::int64_t milliseconds, const std::vector<SlotClaim *> &running)
    {
        for (std::int64_t passed = 0; passed < milliseconds; passed += tickMs) {
            clock.advance(tickMs);
            for (SlotClaim *claim : running) {
                claim->tick();
                claim->observeContact();
                claim->observeList(list);
                if (!claim->usable() && passed % refreshMs == 0) {
                    static_cast<void>(claim->refresh(list, 1));
                }
            }
        }
    }

    MemoryStore store;
    ManualClock clock;
    VmList list;
    SlotClaim a{store, clock, "r0", "a", 1};
    SlotClaim b{store, clock, "r0", "b", 1};
    SlotClaim c{store, clock, "r0", "c", 1};
};

} // namespace

TEST_CASE_FIXTURE(SlotFixture, "slot_threeVmsForTwoSlots_twoGetOneEach")
{
    CHECK(a.refresh(list, 2));
    CHECK(b.refresh(list, 2));
    CHECK_FALSE(c.refresh(list, 2));
    CHECK(a.usable() != b.usable());
    CHECK_FALSE(c.usable().has_value());
}

TEST_CASE_FIXTURE(SlotFixture, "slot_vmGoneFromTheList_isTakenOverOnlyAfterTheHold")
{
    CHECK(a.refresh(list, 1));
    show({"b"});
    CHECK_FALSE(b.refresh(list, 1));
    pass(SlotClaim::goneHoldMs - tickMs, {&b});
    CHECK_FALSE(b.usable().has_value());
    pass(2 * refreshMs, {&b});
    CHECK(b.usable().has_value());
}

TEST_CASE_FIXTURE(SlotFixture, "slot_ownerPausedWhileItIsTakenOver_stopsUsingItBeforeItsFirstAct")
{
    CHECK(a.refresh(list, 1));
    show({"b"});
    CHECK_FALSE(b.refresh(list, 1));
    pass(SlotClaim::goneHoldMs + 2 * refreshMs, {&b});
    CHECK(b.usable().has_value());
    // The owner goes on: even before its first tick the slot must be out of use.
    CHECK_FALSE(a.usable().has_value());
    a.tick();
    CHECK_FALSE(a.usable().has_value());
    show({"a", "b"});
    CHECK_FALSE(a.refresh(list, 1));
}

TEST_CASE_FIXTURE(SlotFixture, "slot_ownerCutOffFromEverything_stopsBeforeTheHoldEnds")
{
    CHECK(a.refresh(list, 1));
    for (std::int64_t passed = 0; passed < SlotClaim::contactLimitMs; passed += tickMs) {
        clock.advance(tickMs);
        a.tick();
    }
    CHECK_FALSE(a.usable().has_value());
    // Contact alone does not bring it back: it must be verified first.
    a.observeContact();
    CHECK_FALSE(a.usable().has_value());
    CHECK(a.refresh(list, 1));
    CHECK(a.usable().has_value());
}

TEST_CASE_FIXTURE(SlotFixture, "slot_platformDownForHours_isKeptWhilePeersAreHeard")
{
    CHECK(a.refresh(list, 1));
    store.down = true;
    pass(4 * 3'600'000, {&a});
    CHECK(a.usable().has_value());
}

TEST_CASE_FIXTURE(SlotFixture, "slot_restartUnderTheSameId_keepsTheSlotAfterAHold")
{
    CHECK(a.refresh(list, 2));
    CHECK(b.refresh(list, 2));
    SlotClaim again(store, clock, "r0", "b", 2);
    CHECK(again.refresh(list, 2));
    CHECK(again.usable() == b.usable());
    CHECK(again.gainHoldUntil() == clock.monotonic() + SlotClaim::restartHoldMs);
}

TEST_CASE_FIXTURE(SlotFixture, "slot_ownerBackInTheListMeanwhile_startsTheHoldAnew")
{
    CHECK(a.refresh(list, 1));
    show({"b"});
    pass(SlotClaim::goneHoldMs - 2 * refreshMs, {&a, &b});
    show({"a", "b"});
    pass(tickMs, {&a});
    CHECK(a.refresh(list, 1));
    show({"b"});
    pass(SlotClaim::goneHoldMs - 2 * refreshMs, {&b});
    CHECK_FALSE(b.usable().has_value());
}

TEST_CASE_FIXTURE(SlotFixture, "slot_pausedProcessReplacedUnderItsId_neverUsesTheSlotAgain")
{
    CHECK(a.refresh(list, 1));
    SlotClaim later(store, clock, "r0", "a", 2);
    later.setRivals(2);
    CHECK(later.refresh(list, 1));
    pass(SlotClaim::restartHoldMs, {&later});
    CHECK(clock.monotonic() >= later.gainHoldUntil());
    // The earlier process goes on. Its last contact is recent, but its pause was too long.
    CHECK_FALSE(a.usable().has_value());
    a.observeContact();
    a.tick();
    CHECK_FALSE(a.refresh(list, 1));
    CHECK_FALSE(a.usable().has_value());
    CHECK(later.refresh(list, 1));
    CHECK(later.usable().has_value());
}

TEST_CASE_FIXTURE(SlotFixture, "slot_released_isFreeAtOnce")
{
    CHECK(a.refresh(list, 1));
    a.release();
    CHECK_FALSE(a.usable().has_value());
    CHECK(b.refresh(list, 1));
}

TEST_CASE("slot_randomPausesCutsAndLists_neverHasTwoUsers")
{
    CHECK(rc::check([] {
        MemoryStore store;
        ManualClock clock;
        VmList list;
        constexpr int vms = 4;
        std::vector<std::unique_ptr<SlotClaim>> claims;
        std::vector<std::int64_t> pausedUntil(vms, 0);
        std::vector<std::int64_t> cutUntil(vms, 0);
        std::set<int> listed;
        for (int i = 0; i < vms; ++i) {
            claims.push_back(std::make_unique<SlotClaim>(store, clock, "r0", "vm" + std::to_string(i), 1));
            claims.back()->setRivals(vms - 1);
            listed.insert(i);
        }
        const auto show = [&] {
            ++list.version;
            list.vms.clear();
            for (const int vm : listed) {
                list.vms.push_back(entryVm("vm" + std::to_string(vm)));
            }
        };
        show();
        for (int step = 0; step < 400; ++step) {
            clock.advance(*rc::gen::inRange(100, 1'000));
            const int vm = *rc::gen::inRange(0, vms);
            switch (*rc::gen::inRange(0, 30)) {
            case 0:
                pausedUntil[vm] = clock.monotonic() + *rc::gen::inRange(1'000, 90'000);
                break;
            case 1:
                cutUntil[vm] = clock.monotonic() + *rc::gen::inRange(1'000, 90'000);
                break;
            case 2:
            case 3:
                listed.contains(vm) ? static_cast<void>(listed.erase(vm)) : static_cast<void>(listed.insert(vm));
                show();
                break;
            case 4:
                store.loseAnswers = 1;
                break;
            default:
                break;
            }
            for (int i = 0; i < vms; ++i) {
                if (clock.monotonic() < pausedUntil[i]) {
                    continue;
                }
                claims[i]->tick();
                if (clock.monotonic() < cutUntil[i]) {
                    continue;
                }
                claims[i]->observeContact();
                claims[i]->observeList(list);
                if (!claims[i]->usable()) {
                    static_cast<void>(claims[i]->refresh(list, 2));
                }
            }
            std::set<std::int64_t> used;
            for (const auto &claim : claims) {
                // What a paused process would decide if it went on right now counts as well.
                if (const auto slot = claim->usable()) {
                    RC_ASSERT(used.insert(slot->index).second);
                }
            }
        }
    }));
}
