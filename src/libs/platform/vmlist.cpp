#include "vmlist.h"

#include <base/json.h>
#include <base/log.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace Wasabistair::Platform {

namespace {

using Json = nlohmann::json;
using Steering::Vm;
using Steering::VmKind;
using Steering::VmState;

Json vmToJson(const Vm &vm)
{
    return {{"id", vm.id}, {"kind", vm.kind == VmKind::Entry ? "entry" : "upstream"}, {"state", vm.state == VmState::Live ? "live" : "leaving"},
        {"host", vm.host}, {"port", vm.port}, {"nodePort", vm.nodePort}, {"region", vm.region}, {"zone", vm.zone}, {"service", vm.service},
        {"since", vm.since}};
}

Vm vmFromJson(const Json &json)
{
    Vm vm;
    vm.id = json.at("id").get<std::string>();
    vm.kind = json.at("kind").get<std::string>() == "entry" ? VmKind::Entry : VmKind::Upstream;
    vm.state = json.at("state").get<std::string>() == "live" ? VmState::Live : VmState::Leaving;
    vm.host = json.at("host").get<std::string>();
    vm.port = json.at("port").get<std::uint16_t>();
    vm.nodePort = json.value("nodePort", std::uint16_t{0});
    vm.region = json.at("region").get<std::string>();
    vm.zone = json.at("zone").get<std::string>();
    vm.service = json.value("service", std::string());
    vm.since = json.value("since", std::int64_t{0});
    return vm;
}

Json vmsToJson(const std::vector<Vm> &vms)
{
    Json array = Json::array();
    for (const Vm &vm : vms) {
        array.push_back(vmToJson(vm));
    }
    return array;
}

std::vector<Vm> vmsFromJson(const Json &array)
{
    std::vector<Vm> vms;
    for (const Json &vm : array) {
        vms.push_back(vmFromJson(vm));
    }
    return vms;
}

std::map<std::string, Vm> byId(const std::vector<Vm> &vms)
{
    std::map<std::string, Vm> result;
    for (const Vm &vm : vms) {
        result[vm.id] = vm;
    }
    return result;
}

/// Texts of the parts of a list of VMs.
struct ListParts {
    std::string_view version;
    std::vector<std::string_view> entries;
    /// Whether some entry has brackets or quotes that don't match.
    bool isDamaged = false;
};

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0, text.find_last_not_of(blanks) + 1);
}

/// Whether an entry begins at the start of @p text.
bool beginsEntry(std::string_view text)
{
    static const std::set<std::string_view> keys = {"id", "kind", "state", "host", "port", "nodePort", "region", "zone", "service", "since"};
    if (!text.starts_with('{')) {
        return false;
    }
    text = trimmed(text.substr(1));
    const std::size_t end = text.starts_with('"') ? text.find('"', 1) : std::string_view::npos;
    return end != std::string_view::npos && keys.contains(text.substr(1, end - 1));
}

/// Text from the start of @p text to the first closing brace outside quotes; empty when there is none. Entries have no inner objects.
std::string_view flatObject(std::string_view text)
{
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (quoted && text[i] == '\\') {
            ++i;
        } else if (text[i] == '"') {
            quoted = !quoted;
        } else if (!quoted && text[i] == '}') {
            return text.substr(0, i + 1);
        }
    }
    return {};
}

/// Finds the entries in @p text, of which some are damaged. Quotes inside a text are escaped, so that no text holds the start of an entry.
std::vector<std::string_view> findEntries(std::string_view text)
{
    std::vector<std::string_view> entries;
    for (std::size_t at = text.find('{'); at != std::string_view::npos; at = text.find('{', at + 1)) {
        if (beginsEntry(text.substr(at))) {
            entries.push_back(flatObject(text.substr(at)));
        }
    }
    return entries;
}

std::optional<ListParts> splitList(std::string_view text)
{
    if (const auto members = Base::splitJson(text)) {
        const std::string_view list = Base::findMember(*members, "vms");
        const auto parts = list.starts_with('[') ? Base::splitJson(list) : std::nullopt;
        if (!parts) {
            return std::nullopt;
        }
        ListParts result{Base::findMember(*members, "version"), {}};
        for (const Base::JsonPart &part : *parts) {
            result.entries.push_back(part.value);
        }
        return result;
    }
    const Base::JsonPrefix prefix = Base::splitJsonPrefix(text, "vms");
    // A list that was cut off must not count as a whole one.
    const std::string_view end = trimmed(text);
    const bool isWhole = end.ends_with('}') && trimmed(end.substr(0, end.size() - 1)).ends_with(']');
    if (prefix.rest.key != "vms" || !prefix.rest.value.starts_with('[') || !isWhole) {
        return std::nullopt;
    }
    return ListParts{Base::findMember(prefix.members, "version"), findEntries(prefix.rest.value), true};
}

} // namespace

Json vmListToJson(const VmList &list)
{
    return {{"version", list.version}, {"vms", vmsToJson(list.vms)}};
}

std::optional<VmList> vmListFromJson(const Json &json)
{
    try {
        VmList list{json.at("version").get<Version>(), vmsFromJson(json.at("vms"))};
        std::sort(list.vms.begin(), list.vms.end());
        return list;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::optional<VmList> readVmList(std::string_view text)
{
    const auto list = splitList(text);
    const Base::JsonRead version = Base::readJson(list ? list->version : std::string_view());
    if (!list || !version.value.is_number_unsigned()) {
        return std::nullopt;
    }
    VmList read{version.value.get<Version>(), {}};
    std::size_t unreadable = 0;
    for (const std::string_view entry : list->entries) {
        try {
            read.vms.push_back(vmFromJson(Base::readJson(entry).value));
        } catch (const Json::exception &) {
            ++unreadable;
        }
    }
    if (unreadable > 0 || list->isDamaged) {
        Base::log(Base::LogLevel::Warning, "vms-not-used", {{"listVersion", read.version}, {"vms", read.vms.size()}, {"unreadable", unreadable}});
    }
    std::sort(read.vms.begin(), read.vms.end());
    return read;
}

ListDelta deltaBetween(const VmList &from, const VmList &to)
{
    ListDelta delta{from.version, to.version, {}, {}};
    const auto before = byId(from.vms);
    const auto after = byId(to.vms);
    for (const auto &[id, vm] : after) {
        const auto found = before.find(id);
        if (found == before.end() || found->second != vm) {
            delta.changed.push_back(vm);
        }
    }
    for (const auto &[id, vm] : before) {
        if (!after.contains(id)) {
            delta.removed.push_back(id);
        }
    }
    return delta;
}

std::optional<VmList> applyDelta(const VmList &list, const ListDelta &delta)
{
    if (delta.from != noVersion && delta.from != list.version) {
        return std::nullopt;
    }
    std::map<std::string, Vm> vms = delta.from == noVersion ? std::map<std::string, Vm>() : byId(list.vms);
    for (const std::string &id : delta.removed) {
        vms.erase(id);
    }
    for (const Vm &vm : delta.changed) {
        vms[vm.id] = vm;
    }
    VmList result{delta.to, {}};
    for (const auto &[id, vm] : vms) {
        result.vms.push_back(vm);
    }
    return result;
}

Json deltaToJson(const ListDelta &delta)
{
    return {{"from", delta.from}, {"to", delta.to}, {"changed", vmsToJson(delta.changed)}, {"removed", delta.removed}};
}

std::optional<ListDelta> deltaFromJson(const Json &json)
{
    try {
        return ListDelta{
            json.at("from").get<Version>(), json.at("to").get<Version>(), vmsFromJson(json.at("changed")), json.at("removed").get<std::vector<std::string>>()};
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::size_t entryVmCount(const VmList &list)
{
    const auto isEntry = [](const Vm &vm) { return vm.kind == VmKind::Entry; };
    return static_cast<std::size_t>(std::count_if(list.vms.begin(), list.vms.end(), isEntry));
}

const Vm *findVm(const VmList &list, const std::string &id)
{
    for (const Vm &vm : list.vms) {
        if (vm.id == id) {
            return &vm;
        }
    }
    return nullptr;
}

} // namespace Wasabistair::Platform
