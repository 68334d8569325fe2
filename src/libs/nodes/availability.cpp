#include "availability.h"

#include "peertable.h"

#include <algorithm>

namespace Wasabistair::Nodes {

std::set<std::string> unavailableNodes(const PeerTable &peers, const std::string &self, const std::vector<HeardPeer> &heard, Base::MonotonicMs now)
{
    std::set<std::string> result = peers.suspects();
    std::set<std::string> available;
    std::set<std::string> linked;
    for (const HeardPeer &peer : heard) {
        linked.insert(peer.node);
        if (!peer.beat) {
            continue;
        }
        for (const std::string &node : peer.beat->unavailable) {
            if (peers.mayTell(peer.node, node)) {
                result.insert(node);
            }
        }
        if (peer.beat->available) {
            available.insert(peer.node);
        } else {
            result.insert(peer.node);
        }
    }
    const std::vector<std::string> &relays = peers.ownRelaysByList();
    if (std::find(relays.begin(), relays.end(), self) != relays.end()) {
        // Members of the own zone connect to its relays; one that does not is not there.
        for (const std::string &node : peers.zoneMembersListedFor(joinGraceMs, now)) {
            if (!linked.contains(node)) {
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
