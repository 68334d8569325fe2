#pragma once

#include <atomic>
#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>

/// Rate limit that an upstream states in its answers, for all VMs together.
namespace Wasabistair::Steering {

/// What one answer says about the upstream's limit.
struct LimitStatement {
    /// Requests per second; nothing when the answer states none.
    std::optional<double> requestsPerSecond;
    /// The answer has a value that can't be read. It neither sets nor ends a limit.
    bool isUnreadable = false;

    auto operator<=>(const LimitStatement &) const = default;
};

/// This VM's share of a stated limit.
struct LimitShare {
    /// Least time between two requests, in ms.
    std::int64_t intervalMs = 0;
    /// Least time between the first statement and the first request after it, in ms.
    std::int64_t firstAfterMs = 0;

    auto operator<=>(const LimitShare &) const = default;
};

/// This VM's share of a limit of @p requestsPerSecond, such that all VMs together keep it in any span of four seconds.
///
/// @p fleetSize counts all registered VMs, alive or not. @p rank is this VM's rank for the upstream, from rendezvousRank(). The VMs of
/// the lowest ranks send: m of them with an interval of m / r send at most m + 4 r requests in four seconds. The other VMs only probe
/// at long intervals, one after the other, whether the limit has ended.
[[nodiscard]] LimitShare limitShare(double requestsPerSecond, int fleetSize, int rank);

/// Limit that one incarnation of an upstream states, as this VM has heard it, and the requests that this VM has sent under it. Thread-safe.
class AnnouncedLimit
{
public:
    struct Change {
        std::optional<double> before;
        std::optional<double> after;

        auto operator<=>(const Change &) const = default;
    };

    /// Records the answer to an attempt that started at @p startedMs. Only an answer that is @p authentic can end a limit, and only if its
    /// attempt started after the last statement, since answers of several connections overtake each other.
    Change record(const LimitStatement &statement, bool authentic, std::int64_t startedMs, std::int64_t nowMs);
    /// The limit in force; nothing when there is none. Takes no lock.
    [[nodiscard]] std::optional<double> requestsPerSecond() const;
    /// Whether a request may be sent at @p nowMs; counts it if so.
    [[nodiscard]] bool tryAcquire(const LimitShare &share, std::int64_t nowMs);
    /// Time in ms until tryAcquire() admits a request; 0 if it does now.
    [[nodiscard]] std::int64_t timeUntilAdmission(const LimitShare &share, std::int64_t nowMs) const;

private:
    [[nodiscard]] std::int64_t admissionTime(const LimitShare &share) const;

    /// Negative for no limit.
    std::atomic<double> requestsPerSecond_{-1};
    mutable std::mutex mutex_;
    std::int64_t firstStatedAtMs_ = 0;
    std::int64_t lastStatedAtMs_ = 0;
    std::optional<std::int64_t> lastAdmittedAtMs_;
};

} // namespace Wasabistair::Steering
