#pragma once

#include "teamdirectory.h"

#include <compare>
#include <cstdint>

namespace Wasabistair::Steering {

/// Whether a team may send one more request.
struct TeamAdmission {
    bool admitted = true;
    /// When not admitted: time in ms after which there is room for the request.
    std::int64_t retryAfterMs = 0;
    /// When admitted: until when the request may be given back (monotonic).
    std::int64_t validUntilMs = 0;

    auto operator<=>(const TeamAdmission &) const = default;
};

/// Keeps the limits of teams. Thread-safe.
class TeamLimiter
{
public:
    virtual ~TeamLimiter() = default;

    /// Takes one request of @p team off its limit. May wait a short time, at most until @p deadlineMs (monotonic).
    [[nodiscard]] virtual TeamAdmission admit(const TeamRule &team, std::int64_t deadlineMs) = 0;
    /// Gives back a request that was admitted as @p admission says and that no upstream has run or will run.
    virtual void refund(const TeamRule &team, const TeamAdmission &admission) = 0;
};

/// Sets no limits.
class UnlimitedTeams: public TeamLimiter
{
public:
    [[nodiscard]] TeamAdmission admit(const TeamRule &, std::int64_t) override
    {
        return {};
    }
    void refund(const TeamRule &, const TeamAdmission &) override
    {}
};

} // namespace Wasabistair::Steering
