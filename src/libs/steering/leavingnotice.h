#pragma once

#include <atomic>
#include <cstdint>

namespace Wasabistair::Steering {

/// How long an answer without an upstream's signature keeps requests from the upstream that it says is leaving, in ms.
constexpr std::int64_t unsignedLeavingMs = 30'000;

/// Whether one incarnation of an upstream has said in an answer to this VM that it leaves. Thread-safe; takes no lock.
class LeavingNotice
{
public:
    /// Records an answer that says so. If it is @p authentic, the notice holds as long as the incarnation does, else for unsignedLeavingMs.
    /// Returns whether the notice was not in force before.
    bool record(bool authentic, std::int64_t nowMs);
    [[nodiscard]] bool isInForceAt(std::int64_t nowMs) const;

private:
    std::atomic<std::int64_t> untilMs_{0};
};

} // namespace Wasabistair::Steering
