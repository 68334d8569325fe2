#pragma once

#include "soakplan.h"
#include "soakupstream.h"

#include <standins/childprocess.h>
#include <standins/objectstorestandin.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Wasabistair::Soak {

/// An upstream, or a zone, that was told to leave.
struct Leaving {
    /// One of both: the name of the upstream, or the zone.
    std::string upstream;
    std::string zone;
    /// Monotonic times of the store's acknowledgement and, for zones, of the end; 0: for good.
    std::int64_t fromMs = 0;
    std::int64_t untilMs = 0;
    std::int64_t boundMs = 0;

    bool operator==(const Leaving &) const = default;
};

/// Entry VMs as processes of their own, each with its own way to the store, and upstreams behind relays. Applies faults and
/// keeps processes going. Ends only what it started.
class SoakFleet
{
public:
    /// @p logs: directory for the VMs' logs, none if empty.
    SoakFleet(const Size &size, std::string logs);
    ~SoakFleet();
    SoakFleet(const SoakFleet &) = delete;
    SoakFleet &operator=(const SoakFleet &) = delete;

    /// Begins or ends @p fault.
    void apply(const Fault &fault, bool begins);
    /// Restarts processes that were to end; notes those that ended otherwise. Call often.
    void tend();

    [[nodiscard]] std::uint16_t callerPort(int vm) const;
    [[nodiscard]] int vms() const;
    /// Number of processes that VM @p vm has had.
    [[nodiscard]] int starts(int vm) const;
    [[nodiscard]] int manifestVersion() const;
    [[nodiscard]] const std::vector<std::unique_ptr<SoakUpstream>> &upstreams() const;
    [[nodiscard]] std::vector<Leaving> leavings() const;
    [[nodiscard]] std::vector<std::string> findings() const;

private:
    struct RelayState {
        int silent = 0;
        int cut = 0;
        int delayed = 0;
    };
    struct Vm {
        std::unique_ptr<StandIns::TcpRelay> store;
        RelayState storeState;
        std::string settingsFile;
        std::uint16_t callerPort = 0;
        std::unique_ptr<StandIns::ChildProcess> process;
        /// Faults that keep the process down, and whether this fleet ended the present one.
        int heldDown = 0;
        bool killed = false;
        bool stopped = false;
        std::atomic<int> starts{0};
    };

    void prepareVm(int index);
    void start(Vm &vm, int index);
    void registerUpstream(const SoakUpstream &upstream, const std::string &state);
    void replaceUpstream(int index);
    void publishManifest();
    void evacuate(int zone, bool begins);
    void noteLeaving(const SoakUpstream &upstream);
    void applyToVm(const Fault &fault, bool begins);
    void applyToStore(const Fault &fault, bool begins);
    void applyToUpstream(const Fault &fault, bool begins);
    static void applyToRelay(FaultKind kind, StandIns::TcpRelay &relay, RelayState &state, int change);

    const Size size_;
    const std::string logs_;
    std::string directory_;
    StandIns::ObjectStoreStandIn store_;
    std::vector<std::unique_ptr<SoakUpstream>> upstreams_;
    std::vector<RelayState> upstreamStates_;
    std::vector<int> incarnations_;
    std::vector<std::unique_ptr<Vm>> vms_;
    int busy_ = 0;
    int losesAnswers_ = 0;
    std::vector<int> evacuations_;
    std::atomic<int> manifestVersion_{0};
    mutable std::mutex mutex_;
    std::vector<Leaving> leavings_;
    std::vector<std::string> findings_;
};

} // namespace Wasabistair::Soak
