#include "vmlist.h"

#include <nlohmann/json.hpp>

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

} // namespace

Json vmListToJson(const VmList &list)
{
    Json vms = Json::array();
    for (const Vm &vm : list.vms) {
        vms.push_back(vmToJson(vm));
    }
    return {{"version", list.version}, {"vms", std::move(vms)}};
}

std::optional<VmList> vmListFromJson(const Json &json)
{
    try {
        VmList list;
        list.version = json.at("version").get<Version>();
        for (const Json &vm : json.at("vms")) {
            list.vms.push_back(vmFromJson(vm));
        }
        return list;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
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
