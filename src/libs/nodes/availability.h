#pragma once

#include "message.h"

#include <base/clock.h>

#include <set>
#include <string>
#include <vector>

namespace Wasabistair::Nodes {

class PeerTable;

/// A newly listed VM has this long to connect before it counts as unavailable.
constexpr Base::MonotonicMs joinGraceMs = 12'000;

/// A peer that said hello, with its last heartbeat; null before the first.
struct HeardPeer {
    std::string node;
    const Heartbeat *beat = nullptr;
};

/// Entry VMs known to take no callers: suspected by @p self, said to be so by a peer that is believed
/// (PeerTable::mayTell), or, on a relay, members of its zone that are not connected to it.
[[nodiscard]] std::set<std::string> unavailableNodes(
    const PeerTable &peers, const std::string &self, const std::vector<HeardPeer> &heard, Base::MonotonicMs now);

} // namespace Wasabistair::Nodes
