#include "mutation.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>
#include <vector>

namespace Wasabistair::StandIns {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxChanges = 4;
constexpr std::array<std::string_view, 14> parserTokens = {"\r\n", "\r\n\r\n", "\n", ":", ": ", "0", "-1", "99999999999999999999", "chunked",
    "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "\xff\xfe", "\"", "}"};

void collectNodes(Json &value, std::vector<Json *> &all)
{
    all.push_back(&value);
    if (value.is_structured()) {
        for (Json &child : value) {
            collectNodes(child, all);
        }
    }
}

} // namespace

Mutator::Mutator(std::uint64_t seed)
    : random_(seed)
{}

std::size_t Mutator::randomBelow(std::size_t limit)
{
    return limit == 0 ? 0 : static_cast<std::size_t>(random_() % limit);
}

std::string Mutator::mutateBytes(std::string bytes)
{
    for (std::size_t change = 0, changes = 1 + randomBelow(maxChanges); change < changes && !bytes.empty(); ++change) {
        const std::size_t position = randomBelow(bytes.size());
        switch (randomBelow(6)) {
        case 0:
            bytes[position] = static_cast<char>(randomBelow(256));
            break;
        case 1:
            bytes.erase(position, 1 + randomBelow(8));
            break;
        case 2:
            bytes.insert(position, bytes.substr(position, 1 + randomBelow(40)));
            break;
        case 3:
            bytes.resize(position);
            break;
        case 4:
            std::swap(bytes[position], bytes[randomBelow(bytes.size())]);
            break;
        default:
            bytes.insert(position, parserTokens.at(randomBelow(parserTokens.size())));
            break;
        }
    }
    return bytes;
}

Json Mutator::unexpectedValue()
{
    switch (randomBelow(9)) {
    case 0:
        return nullptr;
    case 1:
        return -1;
    case 2:
        return std::numeric_limits<std::uint64_t>::max();
    case 3:
        return 1e300;
    case 4:
        return "";
    case 5:
        return std::string(2'000, 'x');
    case 6:
        return Json::array({Json::array({Json::object()})});
    case 7:
        return Json::object({{"service", 7}});
    default:
        return true;
    }
}

Json Mutator::mutateJson(Json document)
{
    for (std::size_t change = 0, changes = 1 + randomBelow(maxChanges); change < changes; ++change) {
        std::vector<Json *> all;
        collectNodes(document, all);
        Json &value = *all.at(randomBelow(all.size()));
        if (value.is_object() && !value.empty() && randomBelow(2) == 0) {
            const auto member = std::next(value.begin(), static_cast<std::ptrdiff_t>(randomBelow(value.size())));
            value.erase(member);
        } else if (value.is_array() && !value.empty() && randomBelow(2) == 0) {
            value.push_back(value.front());
        } else {
            value = unexpectedValue();
        }
    }
    return document;
}

} // namespace Wasabistair::StandIns
