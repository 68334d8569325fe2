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

/// Size of a fleet under test: regions with two availability zones each.
struct FleetPlan {
    std::vector<std::string> regions = {"leinster", "munster", "connacht"};
    int entryVmsPerRegion = 1;
    int serversPerRegion = 2;
    int slots = 4;
    int queue = 4;
    double serviceMs = 5;
    std::string service = "order-ledger";
    std::string host = "orders.test";
    std::vector<std::string> extraSettings;
    /// Entry VMs reach the platform through this port instead of its own, if not 0.
    std::uint16_t platformPort = 0;
};

/// One entry VM's process.
struct EntryVm {
    Steering::Vm vm;
    std::unique_ptr<ChildProcess> process;

    [[nodiscard]] Base::HostPort address() const
    {
        return {vm.host, vm.port};
    }
};

/// Platform and upstreams inside the test, entry VMs as processes.
class Fleet
{
public:
    explicit Fleet(FleetPlan plan);

    /// Objects that describe the fleet: one service, a place per region.
    [[nodiscard]] Steering::ObjectSet objects() const;
    /// Publishes and returns the generation.
    std::uint64_t publish(const Steering::ObjectSet &objects);
    void startVms();
    /// @p more: settings of this process alone.
    void startVm(std::size_t index, const std::vector<std::string> &extraArguments = {});
    /// Publishes the list of VMs as the platform would show it.
    void showList(const std::vector<std::string> &removed = {}, const std::vector<std::string> &leaving = {});
    /// Waits until every running VM says ready with at least @p generation; false after @p milliseconds.
    /// Says on standard error what kept it.
    bool awaitReady(std::uint64_t generation, int milliseconds = 30'000);
    [[nodiscard]] nlohmann::json status(std::size_t index) const;

    [[nodiscard]] FakePlatform &platform();
    [[nodiscard]] Platform::ObjectStore &store();
    [[nodiscard]] std::vector<EntryVm> &vms();
    [[nodiscard]] std::vector<std::unique_ptr<FakeUpstream>> &upstreams();
    [[nodiscard]] std::vector<Base::HostPort> entries() const;
    [[nodiscard]] const FleetPlan &plan() const;
    /// Load on all entry VMs for the fleet's service.
    [[nodiscard]] LoadPlan load(int milliseconds, int callers) const;
    /// Records of all upstreams by request id.
    [[nodiscard]] std::map<std::string, int> runsById() const;
    void setPlatformPort(std::size_t vm, std::uint16_t port);
    /// Entry VMs connect to server @p index through @p port from the next showList() on.
    void routeServer(std::size_t index, std::uint16_t port);

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

/// Polls @p condition every few milliseconds; false after @p milliseconds.
template<typename F>
bool eventually(F &&condition, int milliseconds);

void sleepMs(int milliseconds);

template<typename F>
bool eventually(F &&condition, int milliseconds)
{
    constexpr int stepMs = 20;
    for (int waited = 0; waited < milliseconds; waited += stepMs) {
        if (condition()) {
            return true;
        }
        sleepMs(stepMs);
    }
    return condition();
}

} // namespace Wasabistair::StandIns
