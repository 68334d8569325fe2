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
        setListed({"a", "b", "c"});
        for (SlotClaim *claim : {&a, &b, &c}) {
            claim->setOtherEntryVmCount(2);
        }
    }

    void setListed(const std::vector<std::string> &ids)
    {
        ++list.version;
        list.vms.clear();
        for (const std::string &id : ids) {
            list.vms.push_back(entryVm(id));
        }
    }

    /// Advances the clock. The claims in @p running have contact with the platform and compete for the only slot; the others are paused.
    void advance(std::int64_t milliseconds, const std::vector<SlotClaim *> &running)
    {
        for (std::int64_t elapsed = 0; elapsed < milliseconds; elapsed += tickMs) {
            clock.advance(tickMs);
            for (SlotClaim *claim : running) {
                claim->tick();
                claim->recordContact();
                claim->applyList(list);
                if (!claim->usable() && elapsed % refreshMs == 0) {
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
    setListed({"b"});
    CHECK_FALSE(b.refresh(list, 1));
    advance(SlotClaim::takeoverDelayMs - tickMs, {&b});
    CHECK_FALSE(b.usable().has_value());
    advance(2 * refreshMs, {&b});
    CHECK(b.usable().has_value());
}

TEST_CASE_FIXTURE(SlotFixture, "slot_ownerPausedWhileItIsTakenOver_stopsUsingItBeforeItsFirstAct")
{
    CHECK(a.refresh(list, 1));
    setListed({"b"});
    CHECK_FALSE(b.refresh(list, 1));
    advance(SlotClaim::takeoverDelayMs + 2 * refreshMs, {&b});
    CHECK(b.usable().has_value());
    // The owner resumes; the slot must be unusable even before the first check for a pause.
    CHECK_FALSE(a.usable().has_value());
    a.tick();
    CHECK_FALSE(a.usable().has_value());
    setListed({"a", "b"});
    CHECK_FALSE(a.refresh(list, 1));
}

TEST_CASE_FIXTURE(SlotFixture, "slot_ownerCutOffFromEverything_stopsBeforeTheHoldEnds")
{
    CHECK(a.refresh(list, 1));
    for (std::int64_t elapsed = 0; elapsed < SlotClaim::isolationTimeoutMs; elapsed += tickMs) {
        clock.advance(tickMs);
        a.tick();
    }
    CHECK_FALSE(a.usable().has_value());
    // The slot stays unusable after contact until refresh() verifies it.
    a.recordContact();
    CHECK_FALSE(a.usable().has_value());
    CHECK(a.refresh(list, 1));
    CHECK(a.usable().has_value());
}

TEST_CASE_FIXTURE(SlotFixture, "slot_platformDownForHours_isKeptWhilePeersAreHeard")
{
    CHECK(a.refresh(list, 1));
    store.down = true;
    advance(4 * 3'600'000, {&a});
    CHECK(a.usable().has_value());
}

TEST_CASE_FIXTURE(SlotFixture, "slot_restartUnderTheSameId_keepsTheSlotAfterAHold")
{
    CHECK(a.refresh(list, 2));
    CHECK(b.refresh(list, 2));
    SlotClaim restarted(store, clock, "r0", "b", 2);
    CHECK(restarted.refresh(list, 2));
    CHECK(restarted.usable() == b.usable());
    CHECK(restarted.gainHoldUntil() == clock.monotonic() + SlotClaim::restartDelayMs);
}

TEST_CASE_FIXTURE(SlotFixture, "slot_ownerBackInTheListMeanwhile_startsTheHoldAnew")
{
    CHECK(a.refresh(list, 1));
    setListed({"b"});
    advance(SlotClaim::takeoverDelayMs - 2 * refreshMs, {&a, &b});
    setListed({"a", "b"});
    advance(tickMs, {&a});
    CHECK(a.refresh(list, 1));
    setListed({"b"});
    advance(SlotClaim::takeoverDelayMs - 2 * refreshMs, {&b});
    CHECK_FALSE(b.usable().has_value());
}

TEST_CASE_FIXTURE(SlotFixture, "slot_pausedProcessReplacedUnderItsId_neverUsesTheSlotAgain")
{
    CHECK(a.refresh(list, 1));
    SlotClaim successor(store, clock, "r0", "a", 2);
    successor.setOtherEntryVmCount(2);
    CHECK(successor.refresh(list, 1));
    advance(SlotClaim::restartDelayMs, {&successor});
    CHECK(clock.monotonic() >= successor.gainHoldUntil());
    // The earlier process resumes. Its last contact is recent, but its pause was too long.
    CHECK_FALSE(a.usable().has_value());
    a.recordContact();
    a.tick();
    CHECK_FALSE(a.refresh(list, 1));
    CHECK_FALSE(a.usable().has_value());
    CHECK(successor.refresh(list, 1));
    CHECK(successor.usable().has_value());
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
        std::vector<std::int64_t> isolatedUntil(vms, 0);
        std::set<int> listed;
        for (int i = 0; i < vms; ++i) {
            claims.push_back(std::make_unique<SlotClaim>(store, clock, "r0", "vm" + std::to_string(i), 1));
            claims.back()->setOtherEntryVmCount(vms - 1);
            listed.insert(i);
        }
        const auto setListed = [&] {
            ++list.version;
            list.vms.clear();
            for (const int vm : listed) {
                list.vms.push_back(entryVm("vm" + std::to_string(vm)));
            }
        };
        setListed();
        for (int step = 0; step < 400; ++step) {
            clock.advance(*rc::gen::inRange(100, 1'000));
            const int vm = *rc::gen::inRange(0, vms);
            switch (*rc::gen::inRange(0, 30)) {
            case 0:
                pausedUntil[vm] = clock.monotonic() + *rc::gen::inRange(1'000, 90'000);
                break;
            case 1:
                isolatedUntil[vm] = clock.monotonic() + *rc::gen::inRange(1'000, 90'000);
                break;
            case 2:
            case 3:
                listed.contains(vm) ? static_cast<void>(listed.erase(vm)) : static_cast<void>(listed.insert(vm));
                setListed();
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
                if (clock.monotonic() < isolatedUntil[i]) {
                    continue;
                }
                claims[i]->recordContact();
                claims[i]->applyList(list);
                if (!claims[i]->usable()) {
                    static_cast<void>(claims[i]->refresh(list, 2));
                }
            }
            std::set<std::int64_t> used;
            for (const auto &claim : claims) {
                // Paused processes count as well: they could resume at this moment and use the slot.
                if (const auto slot = claim->usable()) {
                    RC_ASSERT(used.insert(slot->index).second);
                }
            }
        }
    }));
}
