#pragma once

#include <base/settings.h>
#include <steering/vm.h>

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Wasabistair::Tools {

/// Answer of one entry VM's control API.
struct VmAnswer {
    int status = 0;
    nlohmann::json body;
};

/// Sends a GET request for @p path to @p address; nullopt if the VM doesn't answer within @p timeoutMs.
[[nodiscard]] std::optional<VmAnswer> queryVm(const Base::HostPort &address, const std::string &path, int timeoutMs);

/// Queries all @p vms in parallel. Returns the answers by VM id; unreachable VMs are left out.
[[nodiscard]] std::map<std::string, VmAnswer> queryVms(const std::vector<Steering::Vm> &vms, const std::string &path, int timeoutMs);

} // namespace Wasabistair::Tools
