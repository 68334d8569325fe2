#include <doctest/doctest.h>

#include <platform/decoding.h>
#include <platform/registration.h>
#include <standins/fakeobjectstore.h>

#include <chrono>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Adapter;

namespace {

struct RegistrationFixture {
    RegistrationFixture()
        : client({"127.0.0.1", store.port()}, 1'000, clock, counters, eras)
    {}

    /// Waits until the VM's entry has @p incarnation and @p confirmed; returns whether that came within 3 s.
    bool becomes(std::uint64_t incarnation, bool confirmed)
    {
        const Base::MonotonicMs end = clock.monotonic() + 3'000;
        while (clock.monotonic() < end) {
            auto object = tryStoreCall([&] { return client.get("wasabistair-vms", "vm-1"); });
            if (object) {
                auto vm = tryDecode([&] { return decodeVm(*object.value); });
                if (vm && vm.value->incarnation == incarnation && vm.value->confirmedKeeper == confirmed) {
                    return object.value->spec.contains("confirmed") == confirmed;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    /// Time at which the VM's entry isn't provisional any more; 0 if it still is after @p timeoutMs.
    Base::MonotonicMs settledAt(std::int64_t timeoutMs)
    {
        const Base::MonotonicMs end = clock.monotonic() + timeoutMs;
        while (clock.monotonic() < end) {
            if (hasSettledEntry()) {
                return clock.monotonic();
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return 0;
    }

    bool hasSettledEntry()
    {
        auto object = tryStoreCall([&] { return client.get("wasabistair-vms", "vm-1"); });
        return object && !object.value->spec.contains("provisional");
    }

    Base::SystemClock clock;
    StandIns::FakeObjectStore store;
    StoreCallCounters counters;
    Nodes::StoreEraTracker eras;
    StoreClient client;
    Steering::EntryVm vm{"vm-1", "north-a", "north", "10.0.0.1", 80, 81, 1, 0.2, 100};
};

} // namespace

TEST_CASE_FIXTURE(RegistrationFixture, "registration_keeperConfirmed_isStoredAndOutlivesARestart")
{
    {
        Registration first(vm, {"127.0.0.1", store.port()}, clock, counters, eras, 1);
        first.start();
        CHECK(becomes(1, false));
        first.confirmKeeper();
        CHECK(becomes(1, true));
    }
    vm.incarnation = 2;
    Registration second(vm, {"127.0.0.1", store.port()}, clock, counters, eras, 1);
    second.start();
    CHECK(becomes(2, true));
}

TEST_CASE_FIXTURE(RegistrationFixture, "registration_vmMovedToAnotherZone_isNotConfirmedThere")
{
    vm.confirmedKeeper = true;
    store.put("wasabistair-vms", "vm-1", encodeVm(vm));
    vm = {"vm-1", "south-a", "south", "10.0.0.1", 80, 81, 2, 0.2, 100};
    Registration moved(vm, {"127.0.0.1", store.port()}, clock, counters, eras, 1);
    moved.start();
    CHECK(becomes(2, false));
}

TEST_CASE_FIXTURE(RegistrationFixture, "registration_vmIsNewToTheStore_isSettledWhenNoCopyCanLackIt")
{
    Registration registration(vm, {"127.0.0.1", store.port()}, clock, counters, eras, 1);
    const Base::MonotonicMs begin = clock.monotonic();
    registration.start();
    registration.settle();
    CHECK(becomes(1, false));
    CHECK_FALSE(hasSettledEntry());
    CHECK(settledAt(oldestCopyMs + 3'000) >= begin + oldestCopyMs);
}

TEST_CASE_FIXTURE(RegistrationFixture, "registration_limitsOfTeamsAreNotInUse_costsNoFurtherCall")
{
    Registration registration(vm, {"127.0.0.1", store.port()}, clock, counters, eras, 1);
    registration.start();
    CHECK(becomes(1, false));
    CHECK(settledAt(oldestCopyMs + 1'000) == 0);
    CHECK(counters.calls(StoreCall::Create) == 1);
    CHECK(counters.calls(StoreCall::Replace) == 0);
    // Nothing is left to wait for when they come into use later.
    registration.settle();
    CHECK(settledAt(1'000) != 0);
}

TEST_CASE_FIXTURE(RegistrationFixture, "registration_storeComesBackWithoutIt_waitsAnew")
{
    // Guards against a registration that counts as known to all since it once was old enough.
    store.stateEras();
    store.put("wasabistair-vms", "vm-0", encodeVm(vm));
    const std::uint64_t copy = store.revision();
    Registration registration(vm, {"127.0.0.1", store.port()}, clock, counters, eras, 1);
    registration.start();
    registration.settle();
    CHECK(becomes(1, false));
    std::this_thread::sleep_for(std::chrono::milliseconds(oldestCopyMs / 2));
    store.restoreRevision(copy);
    const Base::MonotonicMs restoredAt = clock.monotonic();
    CHECK(settledAt(2 * oldestCopyMs + 3'000) >= restoredAt + oldestCopyMs);
}

TEST_CASE_FIXTURE(RegistrationFixture, "registration_vmStartsAnew_isSettledAtOnceIfItWasBefore")
{
    store.put("wasabistair-vms", "vm-1", encodeVm(vm));
    vm.incarnation = 2;
    {
        Registration registration(vm, {"127.0.0.1", store.port()}, clock, counters, eras, 1);
        registration.start();
        CHECK(becomes(2, false));
        CHECK(hasSettledEntry());
    }
    vm.provisional = true;
    store.put("wasabistair-vms", "vm-1", encodeVm(vm));
    vm.incarnation = 3;
    vm.provisional = false;
    Registration registration(vm, {"127.0.0.1", store.port()}, clock, counters, eras, 1);
    registration.start();
    CHECK(becomes(3, false));
    CHECK_FALSE(hasSettledEntry());
}
