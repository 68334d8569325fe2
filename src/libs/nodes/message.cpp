#include "message.h"

#include <base/cbor.h>

#include <nlohmann/json.hpp>

namespace Wasabistair::Nodes {

namespace {

using Json = nlohmann::json;

constexpr int maxDepth = 6;

enum class Tag {
    Hello,
    Heartbeat,
    PartRequest,
    PartReply,
    ListRequest,
    ListReply,
    Report,
    EventBatch,
};

Json binary(const std::string &bytes)
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
        return {Tag::Hello, messageFormat, hello.node, hello.incarnation};
    }

    Json operator()(const Heartbeat &beat) const
    {
        return {Tag::Heartbeat, beat.sequence, beat.time.wall, beat.time.logical, beat.generation, beat.manifestDigest, beat.listVersion, beat.available,
            beat.unavailable};
    }

    Json operator()(const PartRequest &request) const
    {
        return {Tag::PartRequest, request.digest};
    }

    Json operator()(const PartReply &reply) const
    {
        return {Tag::PartReply, reply.digest, reply.found, binary(reply.bytes)};
    }

    Json operator()(const ListRequest &request) const
    {
        return {Tag::ListRequest, request.known};
    }

    Json operator()(const ListReply &reply) const
    {
        return {Tag::ListReply, Platform::deltaToJson(reply.delta)};
    }

    Json operator()(const Report &report) const
    {
        return {Tag::Report, report.node, report.incarnation, binary(report.body)};
    }

    Json operator()(const EventBatch &batch) const
    {
        return {Tag::EventBatch, batch.events};
    }
};

std::optional<Message> decodeHeartbeat(const Json &json)
{
    Heartbeat beat;
    beat.sequence = json.at(1).get<std::uint64_t>();
    beat.time = {json.at(2).get<std::int64_t>(), json.at(3).get<std::uint32_t>()};
    beat.generation = json.at(4).get<std::uint64_t>();
    beat.manifestDigest = json.at(5).get<std::string>();
    beat.listVersion = json.at(6).get<std::uint64_t>();
    beat.available = json.at(7).get<bool>();
    beat.unavailable = json.at(8).get<std::vector<std::string>>();
    return beat.unavailable.size() <= maxUnavailable ? std::optional<Message>(std::move(beat)) : std::nullopt;
}

std::optional<Message> decodeTagged(const Json &json)
{
    switch (static_cast<Tag>(json.at(0).get<int>())) {
    case Tag::Hello:
        if (json.at(1).get<int>() != messageFormat) {
            return std::nullopt;
        }
        return Hello{json.at(2).get<std::string>(), json.at(3).get<std::uint64_t>()};
    case Tag::Heartbeat:
        return decodeHeartbeat(json);
    case Tag::PartRequest:
        return PartRequest{json.at(1).get<std::string>()};
    case Tag::PartReply:
        return PartReply{json.at(1).get<std::string>(), json.at(2).get<bool>(), fromBinary(json.at(3))};
    case Tag::ListRequest:
        return ListRequest{json.at(1).get<std::uint64_t>()};
    case Tag::ListReply: {
        auto delta = Platform::deltaFromJson(json.at(1));
        return delta ? std::optional<Message>(ListReply{std::move(*delta)}) : std::nullopt;
    }
    case Tag::Report: {
        Report report{json.at(1).get<std::string>(), json.at(2).get<std::uint64_t>(), fromBinary(json.at(3))};
        return report.body.size() <= maxReportBytes ? std::optional<Message>(std::move(report)) : std::nullopt;
    }
    case Tag::EventBatch: {
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
        return decodeTagged(*json);
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace Wasabistair::Nodes
