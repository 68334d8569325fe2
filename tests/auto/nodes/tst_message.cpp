#include <doctest/doctest.h>

#include <nodes/message.h>

#include <nlohmann/json.hpp>

#include <rapidcheck.h>

using namespace Wasabistair;
using namespace Wasabistair::Nodes;

namespace {

std::vector<Message> samples()
{
    Heartbeat heartbeat;
    heartbeat.sequence = 7;
    heartbeat.time = {1'800'000'000'000, 3};
    heartbeat.generation = 12;
    heartbeat.manifestDigest = std::string(64, 'a');
    heartbeat.listVersion = 9;
    heartbeat.available = true;
    heartbeat.unavailable = {"x", "y"};
    Platform::ListDelta delta;
    delta.from = 3;
    delta.to = 4;
    delta.removed = {"b"};
    delta.changed = {{"a", Steering::VmKind::Entry, Steering::VmState::Leaving, "h", 1, 2, "r", "z", "", 5}};
    Base::Event event{{1, 2}, "n", 3, 4, 5, Base::EventKind::PeerDown, "s", "c"};
    return {Hello{"node", 5}, heartbeat, PartRequest{"digest"}, PartReply{"digest", true, std::string("\0\xff binary", 9)}, ListRequest{7}, ListReply{delta},
        VmReport{"node", 5, "{}"}, EventBatch{{event}}};
}

} // namespace

TEST_CASE("message_eachType_isDecodedAsEncoded")
{
    for (const Message &message : samples()) {
        const auto decoded = decodeMessage(encodeMessage(message));
        REQUIRE(decoded.has_value());
        CHECK((*decoded == message));
    }
}

TEST_CASE("message_corruptedBytes_areRejectedOrDecodedWithoutACrash")
{
    const std::vector<Message> all = samples();
    CHECK(rc::check([&] {
        std::string bytes = encodeMessage(all[*rc::gen::inRange<std::size_t>(0, all.size())]);
        const int edits = *rc::gen::inRange(1, 6);
        for (int i = 0; i < edits && !bytes.empty(); ++i) {
            const std::size_t position = *rc::gen::inRange<std::size_t>(0, bytes.size());
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
                break;
            case 1:
                bytes.resize(position);
                break;
            default:
                bytes.insert(position, 1, static_cast<char>(*rc::gen::inRange(0, 256)));
            }
        }
        static_cast<void>(decodeMessage(bytes));
    }));
    CHECK(rc::check([](const std::string &garbage) { static_cast<void>(decodeMessage(garbage)); }));
}

TEST_CASE("message_tooDeepOrOfAnotherFormat_isRejected")
{
    CHECK_FALSE(decodeMessage(std::string(100'000, '\x81')).has_value());
    CHECK_FALSE(decodeMessage("").has_value());
    const auto otherFormat = nlohmann::json::to_cbor({0, messageFormat + 1, "node", 1});
    CHECK_FALSE(decodeMessage({otherFormat.begin(), otherFormat.end()}).has_value());
    // The length prefix announces 4 GiB.
    CHECK_FALSE(decodeMessage(std::string("\x5a\xff\xff\xff\xff", 5)).has_value());
}
