#pragma once

#include "record.h"

#include <standins/childprocess.h>
#include <standins/fakeobjectstore.h>
#include <standins/scriptedupstream.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Wasabistair::Review {

/// Exit codes of the cases.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// Answer of an entry VM; status 0: none came.
struct Answer {
    int status = 0;
    std::string body;
    std::string retryAfter;
};

struct Call {
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

/// Sends one request on a new connection to a loopback port.
[[nodiscard]] Answer send(std::uint16_t port, const Call &call, int timeoutMs);

/// Arrival of a request at an upstream.
struct Arrival {
    std::int64_t atMs = 0;
    std::string upstream;
    std::string requestId;
};

/// An upstream as the users' pages describe it: it registers in the store and signs what it runs. It tells in all its answers that it leaves.
class Upstream
{
public:
    Upstream(std::string id, std::string zone, int workMs, Record &record);

    [[nodiscard]] const std::string &id() const;
    [[nodiscard]] const std::string &zone() const;
    [[nodiscard]] std::vector<Arrival> arrivals() const;
    /// Object that the upstream writes in the store.
    [[nodiscard]] nlohmann::json registration(const std::string &state, int sequence) const;
    void setLeaving();
    /// From @p atMs of nowMs() on the upstream has ended: what it had begun ends without an answer, and nothing runs any more.
    void setEnd(std::int64_t atMs);
    /// Ids of the requests that it had begun and not finished at its end.
    [[nodiscard]] std::vector<std::string> cutRequests() const;

private:
    [[nodiscard]] StandIns::ScriptedAnswer answer(const StandIns::ReceivedRequest &request);

    const std::string id_;
    const std::string zone_;
    const int workMs_;
    const std::int64_t bornMs_;
    Record &record_;
    std::atomic<bool> leaving_{false};
    std::atomic<std::int64_t> endAtMs_{std::numeric_limits<std::int64_t>::max()};
    mutable std::mutex mutex_;
    std::vector<Arrival> arrivals_;
    std::vector<std::string> cutRequests_;
    StandIns::ScriptedUpstream server_;
};

/// Place of one entry VM and its loopback ports.
struct EntryPlace {
    std::string name;
    std::string zone;
    std::uint16_t callerPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t lookupPort = 0;
};

/// The store, entry VMs started with the command of the deploy file, and upstreams, in zones of one region each.
class SmallFleet
{
public:
    /// @p regionOfZone: all zones. @p bounds: entries of the settings' list of bounds.
    SmallFleet(Record &record, std::map<std::string, std::string> regionOfZone, std::vector<std::string> bounds);
    ~SmallFleet();
    SmallFleet(const SmallFleet &) = delete;
    SmallFleet &operator=(const SmallFleet &) = delete;

    void addUpstream(const std::string &id, const std::string &zone, int workMs);
    void addVm(const std::string &zone);
    /// Adds a service of that name with a route for its requests to later manifests; upstreams of the fleet don't belong to it.
    void addService(const std::string &name);
    /// The VMs reach the store at @p port, behind which is the fleet's own.
    void setStorePort(std::uint16_t port);
    void putManifest(int version);
    /// Starts all VMs and waits until they are ready; false if they aren't in time.
    [[nodiscard]] bool start();
    /// Starts @p callers for each VM, each of which sends @p perSecond requests for random keys at most until stopCallers(): reads, or orders,
    /// which may run once at most.
    void startCallers(int callers, int perSecond, bool orders = false);
    /// While paused, callers send nothing.
    void pauseCallers(bool paused);
    void stopCallers();

    [[nodiscard]] StandIns::FakeObjectStore &store();
    [[nodiscard]] Upstream &upstream(const std::string &id);
    [[nodiscard]] const std::vector<std::unique_ptr<Upstream>> &upstreams() const;
    [[nodiscard]] const std::vector<EntryPlace> &places() const;
    [[nodiscard]] StandIns::ChildProcess &process(std::size_t vm);
    /// When the request was sent by its caller, in ms of nowMs(); 0 if unknown.
    [[nodiscard]] std::int64_t sentAt(const std::string &requestId) const;
    [[nodiscard]] int answered() const;

private:
    [[nodiscard]] std::string settingsOf(const EntryPlace &place) const;
    void callLoop(std::size_t vm, int caller, int perSecond, bool orders);

    Record &record_;
    const std::map<std::string, std::string> regionOfZone_;
    const std::vector<std::string> bounds_;
    std::string directory_;
    StandIns::FakeObjectStore store_;
    std::uint16_t storePort_;
    std::vector<std::string> services_;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    std::vector<EntryPlace> places_;
    std::vector<std::string> settingsFiles_;
    std::vector<std::unique_ptr<StandIns::ChildProcess>> processes_;
    std::atomic<bool> callersStop_{false};
    std::atomic<bool> callersPause_{false};
    std::vector<std::thread> callers_;
    std::atomic<int> answered_{0};
    mutable std::mutex mutex_;
    std::map<std::string, std::int64_t> sentAtMs_;
};

/// Whether the environment asks for a run without the disruption (TROUBLE=0).
[[nodiscard]] bool isWithoutTrouble();

void sleepMs(std::int64_t milliseconds);
/// Polls every 10 ms until @p condition holds; false if it doesn't within @p milliseconds.
[[nodiscard]] bool eventually(const std::function<bool()> &condition, std::int64_t milliseconds);

/// Runs @p body and turns what it throws into couldNotRun.
[[nodiscard]] int runCase(const std::function<int()> &body);

} // namespace Wasabistair::Review
