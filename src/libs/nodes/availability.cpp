#include "availability.h"

#include "peertable.h"

#include <algorithm>

namespace Wasabistair::Nodes {

std::set<std::string> unavailableNodes(const PeerTable &peers, const std::string &self, const std::vector<ConnectedPeer> &connectedPeers, Base::MonotonicMs now)
{
    std::set<std::string> result = peers.suspects();
    std::set<std::string> available;
    std::set<std::string> connected;
    for (const ConnectedPeer &peer : connectedPeers) {
        connected.insert(peer.node);
        if (!peer.lastHeartbeat) {
            continue;
        }
        for (const std::string &node : peer.lastHeartbeat->unavailable) {
            if (peers.trustsReport(peer.node, node)) {
                result.insert(node);
            }
        }
        if (peer.lastHeartbeat->available) {
            available.insert(peer.node);
        } else {
            result.insert(peer.node);
        }
    }
    const std::vector<std::string> &relays = peers.ownRelaysIgnoringSuspects();
    if (std::find(relays.begin(), relays.end(), self) != relays.end()) {
        // All members of a zone connect to its relays, so one that is not connected is unavailable.
        for (const std::string &node : peers.zoneMembersListedFor(joinGraceMs, now)) {
            if (!connected.contains(node)) {
                result.insert(node);
            }
        }
    }
    for (const std::string &node : available) {
        result.erase(node);
    }
    result.erase(self);
    return result;
}

} // namespace Wasabistair::Nodes
