#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace Wasabistair::Steering {

/// How one try at an upstream ended.
enum class TryOutcome {
    /// A whole answer of the upstream that is no failure of its own.
    Answered,
    /// A whole answer that reports a failure of the upstream (5xx).
    Failed,
    /// Refused as not run although the upstream reported free slots.
    RefusedWithRoom,
    /// Refused as not run for want of room.
    RefusedFull,
    /// The address refused the connection; nothing was sent.
    NoConnection,
    /// No connection in time; nothing was sent.
    ConnectTimeout,
    /// A connection that had been used before broke; the upstream may just have closed it.
    StaleConnection,
    /// The connection broke, or the answer was cut, spoiled or another request's.
    Broken,
    /// No answer until the request's deadline.
    Silent,
    /// Another upstream answered at the address.
    WrongInstance,
    /// It ran; this VM had no memory for the answer. Says nothing about the upstream.
    Discarded,
    /// The caller left, or the try was not made; says nothing about the upstream.
    Abandoned,
};

[[nodiscard]] std::string_view toString(TryOutcome outcome);

enum class Standing {
    /// Takes its full part.
    Sound,
    /// Takes a trickle of requests that show whether it has recovered.
    Probation,
    /// Takes nothing until suspendedUntilMs.
    Suspended,
};

[[nodiscard]] std::string_view toString(Standing standing);

/// What this VM's own tries say about one upstream.
struct UpstreamHealth {
    /// Tries in a row that ended without an answer.
    int consecutiveFaults = 0;
    /// Share of tries that failed, exponentially weighted.
    double failureShare = 0;
    /// Tries that failureShare is drawn from, up to a small limit.
    int samples = 0;
    /// Share of tries that met their deadline, exponentially weighted.
    double silentShare = 0;
    std::int64_t suspendedUntilMs = 0;
    std::int64_t backoffMs = 0;
    /// Until then requests come back at the pace of probation; set when a suspension ends.
    std::int64_t probationUntilMs = 0;

    auto operator<=>(const UpstreamHealth &) const = default;
};

/// State after a try that ended at @p nowMs.
[[nodiscard]] UpstreamHealth afterTry(UpstreamHealth health, TryOutcome outcome, std::int64_t nowMs);

/// @p serviceSilentShare: silent share of the whole service. In a crowd all upstreams meet deadlines; one that meets them
/// while the others answer is slow or hangs, and is put on probation.
[[nodiscard]] Standing standingAt(const UpstreamHealth &health, double serviceSilentShare, std::int64_t nowMs);

/// @p share after one more try, weighted exponentially.
[[nodiscard]] double nextSilentShare(double share, bool silent, double weight);

} // namespace Wasabistair::Steering
