#include <doctest/doctest.h>

#include <platform/upstreamregistrations.h>
#include <standins/platformobjects.h>

using namespace Wasabistair;
using namespace Wasabistair::Adapter;

namespace {

/// One upstream, u-1, whose writes the store shows in the order in which it executes them.
struct RegistrationsFixture {
    struct Write {
        std::string state = "ready";
        std::int64_t sequence = 0;
        std::int64_t born = 1'000;
        std::int64_t coldLeftMs = 0;
    };

    StoredObject object(const Write &write)
    {
        nlohmann::json spec = StandIns::upstreamObject(80, "north-a", write.state);
        spec["status"]["seq"] = write.sequence;
        spec["status"]["cold-left-ms"] = write.coldLeftMs;
        if (write.born == 0) {
            spec.erase("born");
        } else {
            spec["born"] = write.born;
        }
        return {"u-1", ++revision, spec};
    }

    void execute(const Write &write)
    {
        registrations.applyEvents({{object(write), false}}, nowMs);
    }

    void list(const Write &write)
    {
        registrations.applyList({object(write)}, nowMs);
    }

    void remove()
    {
        registrations.applyEvents({{StoredObject{"u-1", ++revision, {}}, true}}, nowMs);
    }

    bool isUsed() const
    {
        const auto found = registrations.entries().find("u-1");
        return found != registrations.entries().end() && !found->second.leaving;
    }

    static constexpr Base::MonotonicMs nowMs = 10'000;
    Revision revision = 0;
    UpstreamRegistrations registrations;
};

} // namespace

// Guards against orders for a draining upstream after the store has executed an earlier write of it late (review/11).
TEST_CASE_FIXTURE(RegistrationsFixture, "registration_earlierWriteIsExecutedAfterDraining_staysLeaving")
{
    execute({"ready", 9});
    execute({"draining", 13});
    execute({"ready", 10});
    CHECK_FALSE(isUsed());
    list({"ready", 10});
    CHECK_FALSE(isUsed());
    execute({"ready", 14});
    CHECK_FALSE(isUsed());
}

TEST_CASE_FIXTURE(RegistrationsFixture, "registration_earlierWriteIsExecutedAfterTheRemoval_isNotUsedAgain")
{
    execute({"ready", 9});
    execute({"draining", 13});
    remove();
    execute({"ready", 10});
    CHECK(registrations.entries().empty());
    list({"ready", 10});
    CHECK(registrations.entries().empty());
}

TEST_CASE_FIXTURE(RegistrationsFixture, "registration_earlierWriteOfAReadyUpstream_changesNothing")
{
    execute({"ready", 9, 1'000, 3'000});
    execute({"ready", 12, 1'000, 0});
    execute({"ready", 10, 1'000, 2'000});
    REQUIRE(isUsed());
    CHECK(registrations.entries().at("u-1").coldLeftMs == 0);
}

TEST_CASE_FIXTURE(RegistrationsFixture, "registration_writeOfTheProcessBefore_doesNotReplaceTheLaterOne")
{
    execute({"ready", 9, 1'000});
    execute({"ready", 1, 2'000});
    execute({"ready", 10, 1'000});
    CHECK(registrations.entries().at("u-1").startedAtMs == 2'000);
    execute({"draining", 2, 2'000});
    CHECK_FALSE(isUsed());
}

TEST_CASE_FIXTURE(RegistrationsFixture, "registration_upstreamWritesAgainAfterItsEntryExpired_isUsed")
{
    execute({"ready", 9});
    remove();
    REQUIRE_FALSE(isUsed());
    execute({"ready", 10});
    CHECK(isUsed());
}

TEST_CASE_FIXTURE(RegistrationsFixture, "registration_nextProcessUnderTheId_countsAnewAndIsUsed")
{
    execute({"draining", 13, 1'000});
    execute({"ready", 1, 2'000});
    CHECK(isUsed());
}

TEST_CASE_FIXTURE(RegistrationsFixture, "registration_withoutStartTime_laterProcessIsUsed")
{
    execute({"draining", 13, 0});
    execute({"ready", 1, 0});
    CHECK(isUsed());
}
