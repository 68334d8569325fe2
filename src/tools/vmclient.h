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

/// Asks @p address for @p path; nothing when it cannot be reached within @p timeoutMs.
[[nodiscard]] std::optional<VmAnswer> askVm(const Base::HostPort &address, const std::string &path, int timeoutMs);

/// Asks all of @p vms at once, by VM id; those that cannot be reached are left out.
[[nodiscard]] std::map<std::string, VmAnswer> askVms(const std::vector<Steering::Vm> &vms, const std::string &path, int timeoutMs);

} // namespace Wasabistair::Tools
