#pragma once

#include "soakchecks.h"

#include <string>
#include <vector>

namespace Wasabistair::Soak {

/// Adds a finding for each statement of an upstream's answers that a VM which passed it on did not keep: an upstream that leaves gets no
/// request sent later than the drain bound after, one that asked for a pause at most two before its end, one that stated a limit no more
/// than that tolerates in any 4 s, summed over the VMs that were told. Requests from VMs that a fault disturbed are exempt.
void checkStatements(const SoakRun &record, const std::vector<UpstreamExecutions> &upstreams, std::vector<std::string> &findings);

} // namespace Wasabistair::Soak
