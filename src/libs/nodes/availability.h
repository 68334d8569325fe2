#pragma once

#include "message.h"

#include <base/clock.h>

#include <set>
#include <string>
#include <vector>

namespace Wasabistair::Nodes {

class PeerTable;

/// Time that a newly listed VM has to connect before it counts as unavailable.
constexpr Base::MonotonicMs joinGraceMs = 12'000;

/// A peer whose hello was received, with its last heartbeat; null before the first one.
struct ConnectedPeer {
    std::string node;
    const Heartbeat *lastHeartbeat = nullptr;
};

/// Entry VMs that do not accept callers: those suspected by @p self, those reported by a peer whose report is accepted
/// (PeerTable::trustsReport), peers whose own heartbeat says so and, on a relay, members of its zone that are not connected to it.
[[nodiscard]] std::set<std::string> unavailableNodes(
    const PeerTable &peers, const std::string &self, const std::vector<ConnectedPeer> &connectedPeers, Base::MonotonicMs now);

} // namespace Wasabistair::Nodes
