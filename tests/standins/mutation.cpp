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

constexpr std::size_t mostChanges = 4;
constexpr std::array<std::string_view, 14> tokens = {"\r\n", "\r\n\r\n", "\n", ":", ": ", "0", "-1", "99999999999999999999", "chunked", "Content-Length: 5\r\n",
    "Transfer-Encoding: chunked\r\n", "\xff\xfe", "\"", "}"};

void collect(Json &value, std::vector<Json *> &all)
{
    all.push_back(&value);
    if (value.is_structured()) {
        for (Json &child : value) {
            collect(child, all);
        }
    }
}

} // namespace

Mutator::Mutator(std::uint64_t seed)
    : random_(seed)
{}

std::size_t Mutator::below(std::size_t limit)
{
    return limit == 0 ? 0 : static_cast<std::size_t>(random_() % limit);
}

std::string Mutator::spoilBytes(std::string bytes)
{
    for (std::size_t change = 0, changes = 1 + below(mostChanges); change < changes && !bytes.empty(); ++change) {
        const std::size_t at = below(bytes.size());
        switch (below(6)) {
        case 0:
            bytes[at] = static_cast<char>(below(256));
            break;
        case 1:
            bytes.erase(at, 1 + below(8));
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, 1 + below(40)));
            break;
        case 3:
            bytes.resize(at);
            break;
        case 4:
            std::swap(bytes[at], bytes[below(bytes.size())]);
            break;
        default:
            bytes.insert(at, tokens.at(below(tokens.size())));
            break;
        }
    }
    return bytes;
}

Json Mutator::oddValue()
{
    switch (below(9)) {
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

Json Mutator::spoilJson(Json document)
{
    for (std::size_t change = 0, changes = 1 + below(mostChanges); change < changes; ++change) {
        std::vector<Json *> all;
        collect(document, all);
        Json &value = *all.at(below(all.size()));
        if (value.is_object() && !value.empty() && below(2) == 0) {
            const auto victim = std::next(value.begin(), static_cast<std::ptrdiff_t>(below(value.size())));
            value.erase(victim);
        } else if (value.is_array() && !value.empty() && below(2) == 0) {
            value.push_back(value.front());
        } else {
            value = oddValue();
        }
    }
    return document;
}

} // namespace Wasabistair::StandIns
