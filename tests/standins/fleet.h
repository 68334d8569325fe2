#pragma once

#include "callerload.h"
#include "childprocess.h"

#include "fakeplatform.h"
#include "fakeupstream.h"
#include <base/clock.h>

#include <platform/httpobjectstore.h>
#include <platform/publication.h>
#include <steering/objects.h>

#include <memory>
#include <string>
#include <vector>

namespace Wasabistair::StandIns {

/// Size and settings of a fleet under test. Each region has two availability zones.
struct FleetPlan {
    std::vector<std::string> regions = {"leinster", "munster", "connacht"};
    int entryVmsPerRegion = 1;
    int upstreamsPerRegion = 2;
    int slots = 4;
    int queue = 4;
    double serviceMs = 5;
    std::string service = "order-ledger";
    std::string host = "orders.test";
    /// Command-line arguments that every entry VM gets in addition.
    std::vector<std::string> extraSettings;
    /// Loopback port through which entry VMs connect to the platform, such as a relay's; 0 for the platform's own port.
    std::uint16_t platformPort = 0;
};

/// Description and process of one entry VM.
struct EntryVm {
    Steering::Vm vm;
    std::unique_ptr<ChildProcess> process;

    [[nodiscard]] Base::HostPort address() const
    {
        return {vm.host, vm.port};
    }
};

/// Fleet under test: the platform and the upstreams run inside the test process, each entry VM is a child process.
class Fleet
{
public:
    explicit Fleet(FleetPlan plan);

    /// Operators' objects that describe the fleet: one service with a place in each region, and links between all regions.
    [[nodiscard]] Steering::ObjectSet objects() const;
    /// Publishes @p objects and returns their generation; 0 if the publication is not accepted or the platform is unreachable.
    std::uint64_t publish(const Steering::ObjectSet &objects);
    void startVms();
    /// Starts or restarts a VM. @p extraArguments apply to this process only.
    void startVm(std::size_t index, const std::vector<std::string> &extraArguments = {});
    /// Sets the platform's VM list to all VMs of the fleet except @p removed. Those in @p leaving are marked as leaving.
    void publishVmList(const std::vector<std::string> &removed = {}, const std::vector<std::string> &leaving = {});
    /// Waits until every running VM reports that it is ready with at least @p generation; false after @p milliseconds.
    /// On failure, prints the status of each VM that is not ready, and the VM slots of the first region, to standard error.
    bool awaitReady(std::uint64_t generation, int milliseconds = 30'000);
    /// The VM's /v1/status document; an empty object if it does not answer.
    [[nodiscard]] nlohmann::json status(std::size_t index) const;

    [[nodiscard]] FakePlatform &platform();
    [[nodiscard]] Platform::ObjectStore &store();
    [[nodiscard]] std::vector<EntryVm> &vms();
    [[nodiscard]] std::vector<std::unique_ptr<FakeUpstream>> &upstreams();
    /// Addresses on which the entry VMs accept callers.
    [[nodiscard]] std::vector<Base::HostPort> entries() const;
    [[nodiscard]] const FleetPlan &plan() const;
    /// Plan of a load on the fleet's service, spread over all entry VMs.
    [[nodiscard]] LoadPlan load(int milliseconds, int callers) const;
    /// How often upstreams ran each request, by request id.
    [[nodiscard]] std::map<std::string, int> runCountsById() const;
    /// Makes a VM connect to the platform through @p port from its next start on.
    void setPlatformPort(std::size_t vm, std::uint16_t port);
    /// Lists upstream @p index with @p port, such as a relay's, in every VM list that is set after this call.
    void setUpstreamPort(std::size_t index, std::uint16_t port);

private:
    [[nodiscard]] std::vector<Steering::Vm> upstreamVms() const;
    [[nodiscard]] std::vector<std::size_t> notReady(std::uint64_t generation) const;

    const FleetPlan plan_;
    FakePlatform platform_;
    Platform::HttpObjectStore store_;
    std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
    std::vector<std::uint16_t> upstreamPorts_;
    std::vector<EntryVm> vms_;
    std::vector<std::uint16_t> platformPorts_;
    std::uint64_t publishCount_ = 0;
};

/// Polls @p condition every 20 ms until it holds; false if it does not within @p milliseconds.
template<typename F>
bool eventually(F &&condition, int milliseconds);

void sleepMs(int milliseconds);

template<typename F>
bool eventually(F &&condition, int milliseconds)
{
    constexpr int pollMs = 20;
    for (int waited = 0; waited < milliseconds; waited += pollMs) {
        if (condition()) {
            return true;
        }
        sleepMs(pollMs);
    }
    return condition();
}

} // namespace Wasabistair::StandIns
