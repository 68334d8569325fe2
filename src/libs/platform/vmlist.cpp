#include "vmlist.h"

#include <base/json.h>
#include <base/log.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

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
    const auto members = Base::splitJson(text);
    const std::string_view entries = members ? Base::findMember(*members, "vms") : std::string_view();
    const auto parts = entries.starts_with('[') ? Base::splitJson(entries) : std::nullopt;
    const Base::JsonRead version = Base::readJson(members ? Base::findMember(*members, "version") : std::string_view());
    if (!parts || !version.value.is_number_unsigned()) {
        return std::nullopt;
    }
    VmList list{version.value.get<Version>(), {}};
    std::size_t unreadable = 0;
    for (const Base::JsonPart &part : *parts) {
        try {
            list.vms.push_back(vmFromJson(Base::readJson(part.value).value));
        } catch (const Json::exception &) {
            ++unreadable;
        }
    }
    if (unreadable > 0) {
        Base::log(Base::LogLevel::Warning, "vms-not-used", {{"listVersion", list.version}, {"vms", list.vms.size()}, {"unreadable", unreadable}});
    }
    std::sort(list.vms.begin(), list.vms.end());
    return list;
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
