#include "message.h"

#include <base/cbor.h>

#include <nlohmann/json.hpp>

namespace Wasabistair::Nodes {

namespace {

using Json = nlohmann::json;

constexpr int maxDepth = 6;
// Keeps differences of times within 64 bits.
constexpr Base::MonotonicMs maxSentAt = Base::MonotonicMs{1} << 53;

enum class MessageType {
    Hello,
    Heartbeat,
    PartRequest,
    PartReply,
    ListRequest,
    ListReply,
    VmReport,
    EventBatch,
};

Json toBinary(const std::string &bytes)
{
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string fromBinary(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

struct Encoder {
    Json operator()(const Hello &hello) const
    {
        return {MessageType::Hello, messageFormat, hello.node, hello.incarnation};
    }

    Json operator()(const Heartbeat &heartbeat) const
    {
        return {MessageType::Heartbeat, heartbeat.sequence, heartbeat.time.wall, heartbeat.time.logical, heartbeat.generation, heartbeat.manifestDigest,
            heartbeat.listVersion, heartbeat.available, heartbeat.unavailable, heartbeat.sentAt};
    }

    Json operator()(const PartRequest &request) const
    {
        return {MessageType::PartRequest, request.digest};
    }

    Json operator()(const PartReply &reply) const
    {
        return {MessageType::PartReply, reply.digest, reply.found, toBinary(reply.bytes)};
    }

    Json operator()(const ListRequest &request) const
    {
        return {MessageType::ListRequest, request.baseVersion};
    }

    Json operator()(const ListReply &reply) const
    {
        return {MessageType::ListReply, Platform::deltaToJson(reply.delta)};
    }

    Json operator()(const VmReport &report) const
    {
        return {MessageType::VmReport, report.node, report.incarnation, toBinary(report.body)};
    }

    Json operator()(const EventBatch &batch) const
    {
        return {MessageType::EventBatch, batch.events};
    }
};

std::optional<Message> decodeHeartbeat(const Json &json)
{
    Heartbeat heartbeat;
    heartbeat.sequence = json.at(1).get<std::uint64_t>();
    heartbeat.time = {json.at(2).get<std::int64_t>(), json.at(3).get<std::uint32_t>()};
    heartbeat.generation = json.at(4).get<std::uint64_t>();
    heartbeat.manifestDigest = json.at(5).get<std::string>();
    heartbeat.listVersion = json.at(6).get<std::uint64_t>();
    heartbeat.available = json.at(7).get<bool>();
    heartbeat.unavailable = json.at(8).get<std::vector<std::string>>();
    constexpr std::size_t sentAtIndex = 9;
    heartbeat.sentAt = json.size() > sentAtIndex ? json[sentAtIndex].get<Base::MonotonicMs>() : 0;
    const bool valid = heartbeat.unavailable.size() <= maxUnavailable && heartbeat.sentAt >= 0 && heartbeat.sentAt <= maxSentAt;
    return valid ? std::optional<Message>(std::move(heartbeat)) : std::nullopt;
}

std::optional<Message> decodeByType(const Json &json)
{
    switch (static_cast<MessageType>(json.at(0).get<int>())) {
    case MessageType::Hello:
        if (json.at(1).get<int>() != messageFormat) {
            return std::nullopt;
        }
        return Hello{json.at(2).get<std::string>(), json.at(3).get<std::uint64_t>()};
    case MessageType::Heartbeat:
        return decodeHeartbeat(json);
    case MessageType::PartRequest:
        return PartRequest{json.at(1).get<std::string>()};
    case MessageType::PartReply:
        return PartReply{json.at(1).get<std::string>(), json.at(2).get<bool>(), fromBinary(json.at(3))};
    case MessageType::ListRequest:
        return ListRequest{json.at(1).get<std::uint64_t>()};
    case MessageType::ListReply: {
        auto delta = Platform::deltaFromJson(json.at(1));
        return delta ? std::optional<Message>(ListReply{std::move(*delta)}) : std::nullopt;
    }
    case MessageType::VmReport: {
        VmReport report{json.at(1).get<std::string>(), json.at(2).get<std::uint64_t>(), fromBinary(json.at(3))};
        return report.body.size() <= maxReportBytes ? std::optional<Message>(std::move(report)) : std::nullopt;
    }
    case MessageType::EventBatch: {
        EventBatch batch{json.at(1).get<std::vector<Base::Event>>()};
        return batch.events.size() <= maxEventsPerBatch ? std::optional<Message>(std::move(batch)) : std::nullopt;
    }
    }
    return std::nullopt;
}

} // namespace

std::string encodeMessage(const Message &message)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(std::visit(Encoder{}, message));
    return {bytes.begin(), bytes.end()};
}

std::optional<Message> decodeMessage(const std::string &bytes)
{
    const auto json = Base::readCbor(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size(), maxDepth);
    if (!json || !json->is_array() || json->empty()) {
        return std::nullopt;
    }
    try {
        return decodeByType(*json);
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Wasabistair::Nodes
