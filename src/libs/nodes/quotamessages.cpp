#include "quotamessages.h"

#include <base/cbor.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Wasabistair::Nodes {

namespace {

using Json = nlohmann::json;
using Steering::QuotaAsk;
using Steering::QuotaGrant;
using Steering::QuotaMessage;

// With names of teams of up to 100 bytes, a datagram stays under its longest size.
constexpr std::size_t maxEntries = 60;
constexpr std::size_t maxTeamNameBytes = 100;
constexpr std::int64_t maxTokens = 100'000;
constexpr std::int64_t maxPauseMs = 60'000;
// An array that holds arrays of asks and grants, each an array.
constexpr int maxDepth = 3;
constexpr std::size_t fieldsPerAsk = 3;
constexpr std::size_t fieldsPerGrant = 4;
constexpr std::size_t fieldsPerMessage = 7;

bool isCount(const Json &json, std::int64_t largest)
{
    return json.is_number_unsigned() && json.get<std::uint64_t>() <= static_cast<std::uint64_t>(largest);
}

std::optional<QuotaAsk> decodeAsk(const Json &json)
{
    const bool valid = json.is_array() && json.size() == fieldsPerAsk && json[0].is_string()
        && json[0].get_ref<const std::string &>().size() <= maxTeamNameBytes && isCount(json[1], maxTokens) && json[2].is_number_unsigned();
    return valid ? std::optional(QuotaAsk{json[0].get<std::string>(), json[1].get<std::int64_t>(), json[2].get<std::uint64_t>()}) : std::nullopt;
}

std::optional<QuotaGrant> decodeGrant(const Json &json)
{
    const bool valid = json.is_array() && json.size() == fieldsPerGrant && json[0].is_number_unsigned() && isCount(json[1], maxTokens)
        && isCount(json[2], maxPauseMs) && json[3].is_boolean();
    return valid ? std::optional(QuotaGrant{json[0].get<std::uint64_t>(), json[1].get<std::int64_t>(), json[2].get<std::int64_t>(), json[3].get<bool>()})
                 : std::nullopt;
}

} // namespace

std::vector<std::vector<std::uint8_t>> encodeQuotaMessage(const QuotaMessage &message)
{
    std::vector<std::vector<std::uint8_t>> datagrams;
    std::size_t nextAsk = 0;
    std::size_t nextGrant = 0;
    do {
        Json asks = Json::array();
        Json grants = Json::array();
        for (; nextAsk < message.asks.size() && asks.size() < maxEntries; ++nextAsk) {
            const QuotaAsk &ask = message.asks[nextAsk];
            asks.push_back({ask.team, static_cast<std::uint64_t>(ask.tokens), ask.sequence});
        }
        for (; nextGrant < message.grants.size() && asks.size() + grants.size() < maxEntries; ++nextGrant) {
            const QuotaGrant &grant = message.grants[nextGrant];
            grants.push_back({grant.sequence, static_cast<std::uint64_t>(grant.tokens), static_cast<std::uint64_t>(grant.nextInMs), grant.isKeeper});
        }
        datagrams.push_back(Json::to_cbor(Json::array({message.sender, message.senderIncarnation, message.receiverIncarnation, message.wantsAcknowledgement,
            message.acknowledges, std::move(asks), std::move(grants)})));
    } while (nextAsk < message.asks.size() || nextGrant < message.grants.size());
    return datagrams;
}

std::optional<QuotaMessage> decodeQuotaMessage(const std::uint8_t *bytes, std::size_t size)
{
    const auto read = Base::readCbor(bytes, size, maxDepth);
    if (!read) {
        return std::nullopt;
    }
    const Json &json = *read;
    const bool valid = json.is_array() && json.size() == fieldsPerMessage && json[0].is_string() && json[1].is_number_unsigned() && json[2].is_number_unsigned()
        && json[3].is_boolean() && json[4].is_boolean() && json[5].is_array() && json[6].is_array() && json[5].size() + json[6].size() <= maxEntries;
    if (!valid) {
        return std::nullopt;
    }
    QuotaMessage message{
        json[0].get<std::string>(), json[1].get<std::uint64_t>(), json[2].get<std::uint64_t>(), json[3].get<bool>(), json[4].get<bool>(), {}, {}};
    for (const Json &entry : json[5]) {
        const auto ask = decodeAsk(entry);
        if (!ask) {
            return std::nullopt;
        }
        message.asks.push_back(*ask);
    }
    for (const Json &entry : json[6]) {
        const auto grant = decodeGrant(entry);
        if (!grant) {
            return std::nullopt;
        }
        message.grants.push_back(*grant);
    }
    return message;
}

} // namespace Wasabistair::Nodes
