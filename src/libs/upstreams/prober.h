#pragma once

#include <base/clock.h>
#include <base/settings.h>
#include <steering/serverload.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Wasabistair::Upstreams {

/// A server to probe.
struct ProbeTarget {
    std::string serverId;
    Base::HostPort address;
    std::shared_ptr<Steering::ServerLoad> load;
};

/// Probes the health of servers that sent no answer for minIdleMs. A probe can take a server out of use (leaving, no
/// connection) or clear a leaving state that a probe or an answer reported. A server that reports itself as healthy does
/// not override failures that requests observe.
class Prober
{
public:
    static constexpr Base::MonotonicMs minIdleMs = 2'000;
    /// A report that a server is leaving expires after this time unless it is confirmed.
    static constexpr Base::MonotonicMs leavingValidMs = 10'000;
    static constexpr Base::MonotonicMs failureBackoffMs = 2'000;
    static constexpr int probeTimeoutMs = 500;
    /// Concurrent probes, so that servers which do not answer do not delay the results of others.
    static constexpr std::size_t maxParallel = 8;

    explicit Prober(const Base::Clock &clock);

    /// Probes those of @p targets that are due; returns the number of probes.
    std::size_t run(const std::vector<ProbeTarget> &targets);

private:
    void probe(const ProbeTarget &target);

    const Base::Clock &clock_;
};

} // namespace Wasabistair::Upstreams
