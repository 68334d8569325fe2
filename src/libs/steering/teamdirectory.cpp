#include "teamdirectory.h"

#include "hash.h"

#include <algorithm>

namespace Wasabistair::Steering {

std::uint64_t TeamDirectory::defaultHash(std::string_view key)
{
    return hashOf(key);
}

TeamDirectory::TeamDirectory(const std::vector<TeamDefinition> &teams, KeyHash hash)
    : hash_(hash)
    , requiresKeys_(true)
{
    for (const TeamDefinition &team : teams) {
        for (const std::string &key : team.keys) {
            const KeyEntry entry{key, teams_.size()};
            if (!byHash_.emplace(hash_(key), entry).second) {
                colliding_.push_back(entry);
            }
        }
        teams_.push_back(team.rule);
    }
}

bool TeamDirectory::requiresKeys() const
{
    return requiresKeys_;
}

const TeamRule *TeamDirectory::findByKey(std::string_view key) const
{
    const auto found = byHash_.find(hash_(key));
    if (found == byHash_.end()) {
        return nullptr;
    }
    if (found->second.key == key) {
        return &teams_.at(found->second.team);
    }
    const auto other = std::find_if(colliding_.begin(), colliding_.end(), [&](const KeyEntry &entry) { return entry.key == key; });
    return other == colliding_.end() ? nullptr : &teams_.at(other->team);
}

const std::vector<TeamRule> &TeamDirectory::teams() const
{
    return teams_;
}

} // namespace Wasabistair::Steering
