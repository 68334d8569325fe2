#include <doctest/doctest.h>

#include <callers/callerrequest.h>
#include <http/bodydecoder.h>
#include <http/messagehead.h>
#include <nodes/heartbeatexchange.h>
#include <nodes/peermembership.h>

#include <rapidcheck.h>

#include <sstream>

using namespace Wasabistair;

namespace {

std::string chunked(const std::string &body, std::size_t chunk)
{
    std::ostringstream out;
    for (std::size_t i = 0; i < body.size(); i += chunk) {
        const std::string part = body.substr(i, chunk);
        out << std::hex << part.size() << ";ext=1\r\n" << part << "\r\n";
    }
    out << "0\r\nTrailer: x\r\n\r\n";
    return out.str();
}

struct PeerBoardFixture {
    PeerBoardFixture()
    {
        for (const char *name : {"vm-2", "vm-3"}) {
            vms[name] = vm(name, "a");
        }
        vms["vm-4"] = vm("vm-4", "b");
        board.setRegisteredVms(vms);
        board.setAcceptsCallers(true);
    }

    static Steering::EntryVm vm(const std::string &name, const std::string &zone)
    {
        return {name, zone, "north", "10.0.0." + name.substr(3), 80, 81, 1, 0.2, 100};
    }

    [[nodiscard]] std::vector<std::string> listedVms(Base::MonotonicMs now) const
    {
        std::vector<std::string> names;
        for (const Steering::EntryVm &entry : board.vmsAcceptingCallers(now)) {
            names.push_back(entry.name);
        }
        return names;
    }

    std::map<std::string, Steering::EntryVm> vms;
    Nodes::PeerMembership board{vm("vm-1", "a"), 2'600};
};

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("bodyDecoder_anySplitOfAChunkedBody_givesTheWholeBodyAndLeavesTheRest")
{
    CHECK(rc::check([] {
        const std::string body = *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
        const std::string wire = chunked(body, static_cast<std::size_t>(*rc::gen::inRange(1, 9))) + "NEXT";
        Http::BodyDecoder decoder({Http::Framing::Chunked, 0});
        std::string input;
        std::string output;
        Http::BodyState state = Http::BodyState::NeedsMore;
        for (std::size_t i = 0; i < wire.size();) {
            const auto step = static_cast<std::size_t>(*rc::gen::inRange(1, 12));
            input += wire.substr(i, step);
            i += step;
            state = decoder.feed(input, output);
        }
        RC_ASSERT(state == Http::BodyState::Complete);
        RC_ASSERT(output == body);
        RC_ASSERT(input == "NEXT");
    }));
}

TEST_CASE("bodyDecoder_endOfConnection_completesOnlyBodiesThatEndWithIt")
{
    std::string input = "abc";
    std::string output;
    Http::BodyDecoder open({Http::Framing::UntilClose, 0});
    open.feed(input, output);
    CHECK((open.end() == Http::BodyState::Complete));
    Http::BodyDecoder fixed({Http::Framing::FixedLength, 5});
    input = "abc";
    fixed.feed(input, output);
    CHECK((fixed.end() == Http::BodyState::Incomplete));
    for (const char *bad : {"zz\r\n", "-1\r\n", "3\r\nabcX\r\n", "1000000000000000000\r\n"}) {
        Http::BodyDecoder decoder({Http::Framing::Chunked, 0});
        input = bad;
        CHECK_MESSAGE((decoder.feed(input, output) == Http::BodyState::Incomplete), bad);
    }
}

TEST_CASE("responseFraming_contradictions_areRefused")
{
    const auto frameOf = [](const std::string &headers) {
        Poco::Net::HTTPResponse response;
        REQUIRE(Http::parseResponse("HTTP/1.1 200 OK\r\n" + headers + "\r\n", response));
        return Http::responseFraming("GET", response);
    };
    CHECK((frameOf("Content-Length: 5\r\n") == Http::BodyFraming{Http::Framing::FixedLength, 5}));
    CHECK((frameOf("Transfer-Encoding: chunked\r\n") == Http::BodyFraming{Http::Framing::Chunked, 0}));
    CHECK((frameOf("") == Http::BodyFraming{Http::Framing::UntilClose, 0}));
    CHECK_FALSE(frameOf("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"));
    CHECK_FALSE(frameOf("Content-Length: 5\r\nContent-Length: 6\r\n"));
    CHECK_FALSE(frameOf("Content-Length: -5\r\n"));
}

TEST_CASE("memoryBudget_limit_holdsForAllLeasesTogether")
{
    Base::MemoryBudget memory(100);
    Base::MemoryReservation one(memory);
    CHECK(one.growTo(60));
    {
        Base::MemoryReservation two(memory);
        CHECK_FALSE(two.growTo(50));
        CHECK(two.growTo(40));
    }
    CHECK(one.growTo(100));
}

TEST_CASE_FIXTURE(PeerBoardFixture, "peer_withoutHeartbeat_isNotListed")
{
    CHECK(listedVms(0) == Names{"vm-1"});
}

TEST_CASE_FIXTURE(PeerBoardFixture, "peer_withoutHeartbeatForTheTimeout_isNoLongerListed")
{
    board.applyReport({"vm-2", 1, true, 0}, "vm-2", 1'000);
    CHECK(listedVms(3'600) == Names{"vm-1", "vm-2"});
    CHECK(listedVms(3'601) == Names{"vm-1"});
}

TEST_CASE_FIXTURE(PeerBoardFixture, "peer_reportsStopping_isRemovedAtOnceAndOlderReportsDoNotRestoreIt")
{
    board.applyReport({"vm-2", 1, true, 0}, "vm-2", 1'000);
    board.applyReport({"vm-2", 1, false, 0}, "vm-2", 1'100);
    board.applyReport({"vm-2", 1, true, 300}, "vm-2", 1'200);
    CHECK(listedVms(1'200) == Names{"vm-1"});
}

TEST_CASE_FIXTURE(PeerBoardFixture, "peer_reportedByAnotherPeer_keepsTheAgeOfItsHeartbeat")
{
    board.applyReport({"vm-4", 1, true, 2'000}, "vm-4", 1'000);
    CHECK(listedVms(1'600) == Names{"vm-1", "vm-4"});
    CHECK(listedVms(1'601) == Names{"vm-1"});
}

TEST_CASE_FIXTURE(PeerBoardFixture, "ownVm_isNotReady_isNotListed")
{
    board.setAcceptsCallers(false);
    CHECK(listedVms(0).empty());
    CHECK_FALSE(board.zoneDigest(0).front().acceptsCallers);
}

TEST_CASE_FIXTURE(PeerBoardFixture, "otherZones_oneVmOfEach_isSelected")
{
    const auto selected = board.onePeerPerOtherZone(0, 7);
    REQUIRE(selected.size() == 1);
    CHECK(selected.front().name == "vm-4");
    CHECK(board.zonePeers().size() == 2);
}

TEST_CASE("datagram_encodedAndDecoded_isTheSameAndDamageIsRefused")
{
    CHECK(rc::check([] {
        Nodes::PeerDatagram datagram{*rc::gen::arbitrary<bool>(), {}, *rc::gen::arbitrary<bool>(),
            {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()}};
        const int count = *rc::gen::inRange(0, 5);
        for (int i = 0; i < count; ++i) {
            datagram.reports.push_back(
                {"vm-" + std::to_string(i), *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<bool>(), *rc::gen::inRange(0, 9'000)});
        }
        auto bytes = Nodes::encodeDatagram(datagram);
        RC_ASSERT(Nodes::decodeDatagram(bytes.data(), bytes.size()) == datagram);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            RC_ASSERT(!Nodes::decodeDatagram(bytes.data(), length));
        }
        // A changed byte may result in another valid, shorter datagram; decoding only has to be safe, whatever it returns.
        const auto position = static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(bytes.size())));
        bytes[position] = *rc::gen::arbitrary<std::uint8_t>();
        (void)Nodes::decodeDatagram(bytes.data(), bytes.size());
        (void)Nodes::decodeDatagram(bytes.data(), bytes.size() / 2);
    }));
}
