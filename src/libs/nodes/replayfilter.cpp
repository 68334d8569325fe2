#include "replayfilter.h"

#include <algorithm>

namespace Wasabistair::Nodes {

void ReplayFilter::beginList(std::uint64_t asOf, const std::map<std::string, std::uint64_t> &revisions)
{
    ahead_.clear();
    newest_ = asOf;
    for (const auto &[name, revision] : revisions) {
        if (revision > asOf) {
            ahead_.emplace(name, revision);
            newest_ = std::max(newest_, revision);
        }
    }
}

bool ReplayFilter::isReplayed(const std::string &name, std::uint64_t revision) const
{
    const auto listed = ahead_.find(name);
    return listed != ahead_.end() && revision < listed->second;
}

void ReplayFilter::advanceTo(std::uint64_t position)
{
    if (position >= newest_) {
        ahead_.clear();
    }
}

} // namespace Wasabistair::Nodes
