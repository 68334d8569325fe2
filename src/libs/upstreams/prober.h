#pragma once

#include <base/clock.h>
#include <base/settings.h>
#include <steering/serverload.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Wasabistair::Upstreams {

/// A server to be probed.
struct ProbeTarget {
    std::string serverId;
    Base::HostPort address;
    std::shared_ptr<Steering::ServerLoad> load;
};

/// Asks servers for their health, sparingly: only those from which no answer came for quietMs.
/// A probe can only take a server out of use (leaving, no connection) or end a leaving that a probe or
/// an answer reported; that a server calls itself healthy never outweighs what requests observe.
class Prober
{
public:
    static constexpr Base::MonotonicMs quietMs = 2'000;
    /// News of leaving stands this long without being confirmed.
    static constexpr Base::MonotonicMs leavingHoldMs = 10'000;
    static constexpr Base::MonotonicMs failurePauseMs = 2'000;
    static constexpr int probeTimeoutMs = 500;
    /// Probes made at once, so that servers that do not answer hold no news of others up.
    static constexpr std::size_t maxParallel = 8;

    explicit Prober(const Base::Clock &clock);

    /// Probes those of @p targets that are due; returns the number of probes.
    std::size_t run(const std::vector<ProbeTarget> &targets);

private:
    void probe(const ProbeTarget &target);

    const Base::Clock &clock_;
};

} // namespace Wasabistair::Upstreams
