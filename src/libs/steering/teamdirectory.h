#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Wasabistair::Steering {

/// Limit on the requests of one team at all VMs together: a token bucket that refills at the rate and holds the burst.
struct TeamLimit {
    /// 0: not limited.
    double requestsPerSecond = 0;
    double burst = 0;

    auto operator<=>(const TeamLimit &) const = default;
};

/// What the configuration says of one team of callers. Its keys are held by the TeamDirectory alone.
struct TeamRule {
    std::string name;
    /// Takes precedence over the priority of a route; 0 is the most urgent.
    std::optional<int> priority;
    TeamLimit limit;
    /// Regions whose upstreams may serve the team; empty: all regions.
    std::vector<std::string> homeRegions;

    bool operator==(const TeamRule &) const = default;
};

/// A team and the keys by which its callers identify themselves.
struct TeamDefinition {
    TeamRule rule;
    std::vector<std::string> keys;

    bool operator==(const TeamDefinition &) const = default;
};

/// Teams of a configuration, found by key. The time of a look-up doesn't depend on the number of keys. Immutable.
class TeamDirectory
{
public:
    /// Hashes a key.
    using KeyHash = std::uint64_t (*)(std::string_view key);

    /// A directory of a configuration without teams, in which no request needs a key.
    TeamDirectory() = default;
    /// @p teams must hold each key once. Keys with the same hash are still told apart.
    explicit TeamDirectory(const std::vector<TeamDefinition> &teams, KeyHash hash = defaultHash);

    /// Whether requests on routes that aren't anonymous need a key.
    [[nodiscard]] bool requiresKeys() const;
    /// The team that holds @p key; null when there is none. Valid as long as the directory.
    [[nodiscard]] const TeamRule *findByKey(std::string_view key) const;
    [[nodiscard]] const std::vector<TeamRule> &teams() const;

    bool operator==(const TeamDirectory &) const = default;

private:
    struct KeyEntry {
        std::string key;
        std::size_t team = 0;

        bool operator==(const KeyEntry &) const = default;
    };

    static std::uint64_t defaultHash(std::string_view key);

    KeyHash hash_ = defaultHash;
    bool requiresKeys_ = false;
    std::vector<TeamRule> teams_;
    /// By hash of the key; of the keys with one hash, the second and further ones are in colliding_.
    std::unordered_map<std::uint64_t, KeyEntry> byHash_;
    std::vector<KeyEntry> colliding_;
};

} // namespace Wasabistair::Steering
