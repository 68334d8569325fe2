#pragma once

#include <cstdint>
#include <mutex>

namespace Wasabistair::Steering {

/// Circuit breaker for calls to the store: while the store is unreachable, one call at a time probes it. Thread-safe.
///
/// Every call has a cost, also one that the store rejects. Consecutive failures of all users together open the breaker, one
/// success closes it.
class CircuitBreaker
{
public:
    /// Consecutive failures after which the store counts as unreachable. Fewer can come from single broken connections.
    static constexpr int failureThreshold = 4;
    static constexpr std::int64_t firstBackoffMs = 100;
    /// Bounds the delay until a recovered store is detected. A larger value means fewer calls during an outage.
    static constexpr std::int64_t maxBackoffMs = 750;
    /// Another probe may start when one has not ended after this time.
    static constexpr std::int64_t probeTimeoutMs = 3'000;
    /// Time after the start of the last failed call for which entries that expired during the outage are kept. Running upstreams register
    /// again within about 2 s of the store's recovery; upstreams that left must get no requests from 3 s after it.
    static constexpr std::int64_t expiredEntryGraceMs = 2'400;

    /// Whether a call that is answered at once may be made. During an outage, true means that this call is the probe.
    [[nodiscard]] bool tryBeginCall(std::int64_t nowMs);
    /// Whether a call that waits for changes (a watch) may be made. False during an outage: a watch without an answer doesn't show
    /// whether the store is reachable, and would hold back other probes.
    [[nodiscard]] bool allowsWatch() const;
    /// Records that a call started at @p startedMs got no answer or was rejected. @p jitter, uniform in 0 to 1, spreads the probes of
    /// many VMs.
    void recordFailure(std::int64_t startedMs, std::int64_t nowMs, double jitter);
    void recordSuccess();
    /// Records that a call was cancelled without a result; another one may be made at once.
    void recordAbandoned();
    /// When entries that expired during the last outage and were not registered again are removed. Counted from the start of the
    /// last failed call, because the first success can follow the recovery by up to maxBackoffMs.
    [[nodiscard]] std::int64_t expiredEntriesRemovedAtMs() const;

private:
    mutable std::mutex mutex_;
    int consecutiveFailures_ = 0;
    std::int64_t backoffMs_ = 0;
    std::int64_t nextProbeAtMs_ = 0;
    std::int64_t lastFailedCallStartedMs_ = 0;
};

} // namespace Wasabistair::Steering
