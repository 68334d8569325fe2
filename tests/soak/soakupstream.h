#pragma once

#include <standins/scriptedupstream.h>
#include <standins/tcprelay.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Wasabistair::Soak {

/// A request that an upstream executed.
struct Execution {
    std::string requestId;
    /// Name that the upstream had at that time.
    std::string upstream;
    /// Monotonic time.
    std::int64_t startMs = 0;

    bool operator==(const Execution &) const = default;
};

/// What an upstream states about itself with an answer.
struct Statement {
    bool leaving = false;
    /// Pause that a rejection asks for; 0 for none.
    std::int64_t pauseMs = 0;
    /// Requests per second that it takes from all VMs together; 0 for no limit.
    double limit = 0;

    auto operator<=>(const Statement &) const = default;
};

/// A request that reached the upstream to which it was addressed, executed or not.
struct Arrival {
    std::string requestId;
    /// Name that the upstream had at that time.
    std::string upstream;
    /// Monotonic time.
    std::int64_t atMs = 0;
    Statement stated;

    bool operator==(const Arrival &) const = default;
};

/// One upstream behind a relay, both with injectable faults. It executes only requests addressed to its current name and answers others with 421.
class SoakUpstream
{
public:
    SoakUpstream(std::string name, std::string zone);

    /// Port of the relay, which is the one registered in the store.
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::string name() const;
    [[nodiscard]] const std::string &zone() const;
    /// Changes the name, as if another process had taken over the address.
    void rename(const std::string &name);
    [[nodiscard]] std::vector<Execution> executions() const;
    [[nodiscard]] std::vector<Arrival> arrivals() const;

    StandIns::TcpRelay &relay();
    /// Number of active faults of each kind, since faults may overlap.
    std::atomic<int> truncationFaults{0};
    std::atomic<int> failureFaults{0};
    std::atomic<int> sheddingFaults{0};
    std::atomic<int> limitFaults{0};
    /// Whether its answers state that it leaves.
    std::atomic<bool> leaving{false};

private:
    [[nodiscard]] StandIns::ScriptedAnswer answer(const StandIns::ReceivedRequest &request);

    const std::string zone_;
    mutable std::mutex mutex_;
    std::string name_;
    std::vector<Execution> executions_;
    std::vector<Arrival> arrivals_;
    std::atomic<unsigned> requestCount_{0};
    StandIns::ScriptedUpstream upstream_;
    StandIns::TcpRelay relay_;
};

} // namespace Wasabistair::Soak
