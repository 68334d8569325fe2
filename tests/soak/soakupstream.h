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

/// A request that an upstream ran.
struct Run {
    std::string request;
    /// Name under which the upstream ran it.
    std::string upstream;
    /// Monotonic.
    std::int64_t startMs = 0;

    bool operator==(const Run &) const = default;
};

/// One upstream behind a relay that fails on demand. It runs requests addressed to its present name only.
class SoakUpstream
{
public:
    SoakUpstream(std::string name, std::string zone);

    /// Port that VMs are told.
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::string name() const;
    [[nodiscard]] const std::string &zone() const;
    /// From now on it answers to this name, as another process at the same address would.
    void rename(const std::string &name);
    [[nodiscard]] std::vector<Run> runs() const;

    StandIns::TcpRelay &relay();
    /// Numbers of faults that hold now; they overlap.
    std::atomic<int> spoils{0};
    std::atomic<int> fails{0};
    std::atomic<int> sheds{0};

private:
    [[nodiscard]] StandIns::ScriptedAnswer answer(const StandIns::ReceivedRequest &request);

    const std::string zone_;
    mutable std::mutex mutex_;
    std::string name_;
    std::vector<Run> runs_;
    std::atomic<unsigned> count_{0};
    StandIns::ScriptedUpstream upstream_;
    StandIns::TcpRelay relay_;
};

} // namespace Wasabistair::Soak
