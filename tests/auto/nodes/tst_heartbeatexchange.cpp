#include <doctest/doctest.h>

#include <nodes/heartbeatexchange.h>
#include <standins/fleet.h>
#include <standins/ports.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <optional>

using namespace Wasabistair;
using namespace Wasabistair::Nodes;

namespace {

constexpr std::int64_t silenceMs = 3'400;
constexpr std::int64_t lateMs = 2'500;
// For scheduling on a busy machine.
constexpr std::int64_t toleranceMs = 1'000;

/// A VM whose heartbeats the test sends.
struct ScriptedVm {
    ScriptedVm(std::string name, std::string zone)
        : vm{std::move(name), std::move(zone), "region", "127.0.0.1", 1, StandIns::freePort(), 1}
    {
        socket.bind(Poco::Net::SocketAddress(vm.ip, vm.peerPort), true);
    }

    /// Sends a heartbeat that was made @p agoMs ago, by a clock that is @p aheadMs ahead.
    void sendHeartbeat(const Steering::EntryVm &receiver, std::int64_t agoMs, bool digestRequested = false)
    {
        const PeerDatagram datagram{digestRequested, {{vm.name, vm.incarnation, true, 0}}, readsLatest, {}, 0, clock.monotonic() + aheadMs - agoMs};
        const auto bytes = encodeDatagram(datagram);
        socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress(receiver.ip, receiver.peerPort));
    }

    /// The next datagram that reports on @p name.
    std::optional<PeerReport> awaitReportOn(const std::string &name)
    {
        std::array<std::uint8_t, 8'192> buffer;
        while (socket.poll(Poco::Timespan(5, 0), Poco::Net::Socket::SELECT_READ)) {
            Poco::Net::SocketAddress sender;
            const int size = socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
            const auto datagram = decodeDatagram(buffer.data(), static_cast<std::size_t>(size));
            REQUIRE(datagram);
            const auto found = std::find_if(datagram->reports.begin(), datagram->reports.end(), [&](const PeerReport &report) { return report.vm == name; });
            if (found != datagram->reports.end()) {
                return *found;
            }
        }
        return std::nullopt;
    }

    static constexpr std::int64_t aheadMs = 1'000'000;
    Base::SystemClock clock;
    Steering::EntryVm vm;
    bool readsLatest = false;
    Poco::Net::DatagramSocket socket;
};

struct HeartbeatFixture {
    HeartbeatFixture()
    {
        membership.setRegisteredVms({{self.name, self}, {neighbour.vm.name, neighbour.vm}, {far.vm.name, far.vm}});
        membership.setAcceptsCallers(true);
    }

    bool isAlive(const std::string &name) const
    {
        const auto vms = membership.vmsAcceptingCallers(clock.monotonic());
        return std::any_of(vms.begin(), vms.end(), [&](const auto &vm) { return vm.name == name; });
    }

    void meetNeighbour()
    {
        neighbour.sendHeartbeat(self, 0);
        REQUIRE(StandIns::eventually([&] { return isAlive("neighbour"); }, 5'000));
    }

    /// Age of the neighbour's heartbeat in what this VM tells other zones.
    std::int64_t ageInDigest()
    {
        far.sendHeartbeat(self, 0, true);
        const auto report = far.awaitReportOn("neighbour");
        REQUIRE(report);
        return report->ageMs;
    }

    Base::SystemClock clock;
    Steering::EntryVm self{"self", "zone-a", "region", "127.0.0.1", 1, StandIns::freePort(), 1};
    ScriptedVm neighbour{"neighbour", "zone-a"};
    ScriptedVm far{"far", "zone-b"};
    PeerMembership membership{self, silenceMs};
    RevisionTracker revisions{clock.monotonic() - startGraceMs};
    HeartbeatExchange exchange{membership, revisions, self.ip, self.peerPort, clock, 1};
};

Steering::EntryVm vmNamed(const std::string &name)
{
    return {name, "zone-a", "region", "127.0.0.1", 1, 2};
}

struct StandstillFixture {
    StandstillFixture()
    {
        membership.setRegisteredVms({{"self", vmNamed("self")}, {"peer", vmNamed("peer")}});
        membership.setAcceptsCallers(true);
        membership.recordListening(10'000);
        membership.applyReport({"peer", 1, true, 0}, "peer", 10'000);
    }

    bool isPeerNamed(std::int64_t now) const
    {
        return membership.vmsAcceptingCallers(now).size() == 2;
    }

    PeerMembership membership{vmNamed("self"), silenceMs};
};

} // namespace

TEST_CASE_FIXTURE(HeartbeatFixture, "heartbeat_readAtOnce_isNewInTheDigest")
{
    meetNeighbour();
    CHECK(ageInDigest() < toleranceMs);
}

// Guards against a VM that stood still and passes on as new what a neighbour sent before it was lost (review/15).
TEST_CASE_FIXTURE(HeartbeatFixture, "heartbeat_readLate_isPassedOnWithItsAge")
{
    meetNeighbour();
    StandIns::sleepMs(lateMs);
    neighbour.sendHeartbeat(self, lateMs);
    CHECK(ageInDigest() >= lateMs - toleranceMs);
    StandIns::sleepMs(silenceMs + toleranceMs - lateMs);
    CHECK_FALSE(isAlive("neighbour"));
}

// Guards against a reader that counts as running since its last heartbeat was read, not since it was sent.
TEST_CASE_FIXTURE(HeartbeatFixture, "readersHeartbeat_readLate_confirmsTheConfigurationOnlyUpToItsSending")
{
    neighbour.readsLatest = true;
    meetNeighbour();
    StandIns::sleepMs(lateMs);
    neighbour.sendHeartbeat(self, lateMs);
    CHECK(ageInDigest() >= lateMs - toleranceMs);
    REQUIRE(revisions.configurationConfirmedAt());
    CHECK(clock.monotonic() - *revisions.configurationConfirmedAt() >= lateMs - toleranceMs);
}

// Guards against a VM that goes on after a standstill and names only itself, since it has heard nobody meanwhile.
TEST_CASE_FIXTURE(StandstillFixture, "peers_afterOwnStandstill_countAsAliveUntilTheyCanBeHeard")
{
    CHECK(isPeerNamed(13'400));
    // Not yet noticed by the thread that listens.
    CHECK(isPeerNamed(20'000));
    CHECK(membership.recordListening(20'000) == 10'000);
    CHECK(membership.recordListening(21'000) == 0);
    CHECK(isPeerNamed(22'199));
    CHECK_FALSE(isPeerNamed(22'200));
}

TEST_CASE_FIXTURE(StandstillFixture, "peers_whileStandstillsFollowOnEachOther_countAsAlive")
{
    membership.recordListening(20'000);
    CHECK(membership.recordListening(22'000) == 2'000);
    CHECK(isPeerNamed(24'100));
    CHECK(membership.recordListening(23'000) == 0);
    CHECK_FALSE(isPeerNamed(24'200));
}

TEST_CASE_FIXTURE(StandstillFixture, "peer_silentBeforeOwnStandstill_staysSilent")
{
    for (std::int64_t now = 11'000; now <= 14'000; now += 1'000) {
        CHECK(membership.recordListening(now) == 0);
    }
    CHECK_FALSE(isPeerNamed(14'000));
    CHECK(membership.recordListening(20'000) == 6'000);
    CHECK_FALSE(isPeerNamed(20'100));
    // Its age is told as it is.
    CHECK(membership.zoneDigest(20'100).back().ageMs == 10'100);
}
