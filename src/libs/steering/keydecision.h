#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace Wasabistair::Steering {

/// How a VM that can't confirm that its configuration is the latest treats keys.
struct KeyRevocation {
    /// Whether it rejects requests with keys; otherwise it goes on with the keys that it knows.
    bool strict = false;
    /// How old its confirmation may be then, in ms.
    std::int64_t confirmWithinMs = 5'000;

    auto operator<=>(const KeyRevocation &) const = default;
};

/// What a VM knows of how recent its configuration is.
struct ConfigurationState {
    /// Whether a later version is known to exist.
    bool isBehind = false;
    /// Time since this VM last learned that it has the latest version, in ms; nothing when it never did.
    std::optional<std::int64_t> confirmedAgeMs;

    auto operator<=>(const ConfigurationState &) const = default;
};

enum class KeyDecision {
    /// A team holds the key.
    Accepted,
    /// No team holds the key.
    Rejected,
    /// This VM's configuration may be too old to tell; another VM may be able to.
    Undecided,
};

/// Decides on a key that a team of this VM's configuration holds or, unless @p isKnown, doesn't.
[[nodiscard]] KeyDecision decideKey(bool isKnown, const ConfigurationState &configuration, const KeyRevocation &revocation);

} // namespace Wasabistair::Steering
