#include "daemon.h"

#include "configurationfeed.h"
#include "controlapi.h"
#include "engine.h"
#include "statusreport.h"
#include "zonewriter.h"

#include <base/log.h>
#include <base/timeline.h>
#include <base/worker.h>
#include <callers/callerserver.h>
#include <callers/forwarder.h>
#include <nodes/generationstore.h>
#include <nodes/mesh.h>
#include <nodes/topology.h>
#include <platform/slotclaim.h>
#include <platform/vmlist.h>
#include <steering/decision.h>
#include <steering/hash.h>
#include <upstreams/connectionpool.h>
#include <upstreams/prober.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <nlohmann/json.hpp>

#include <Poco/Thread.h>

#include <algorithm>
#include <set>

namespace Wasabistair::App {

namespace {

constexpr std::int64_t tickMs = 100;
constexpr std::int64_t ticksPerSample = 10;
constexpr std::int64_t probeIntervalMs = 500;
constexpr std::int64_t slotCheckMs = 250;
/// Added to slotCheckMs at random, so that VMs of a zone that return together rarely collide.
constexpr std::uint64_t slotJitterMs = 750;
constexpr std::int64_t slotVerifyMs = 60'000;
constexpr std::int64_t stopCheckMs = 50;
constexpr std::int64_t msPerSecond = 1'000;
/// Time beyond the last cached look-up answer's end during which a leaving VM takes requests.
constexpr std::int64_t drainMarginMs = 1'000;
/// Heartbeats spread the news of leaving within this time.
constexpr std::int64_t announceMs = 500;

Identity identityOf(const DaemonSettings &settings, const Base::Clock &clock)
{
    return {settings.vm, settings.region, settings.zone, static_cast<std::uint64_t>(clock.wall())};
}

} // namespace

class Daemon::Parts
{
public:
    Parts(const DaemonSettings &settings, const Base::Clock &clock, Platform::HttpObjectStore &store, Nodes::Transport &transport, std::uint64_t randomSeed)
        : settings_(settings)
        , clock_(clock)
        , store_(store)
        , transport_(transport)
        , identity_(identityOf(settings, clock))
        , hybridClock_(clock)
        , timeline_(hybridClock_, settings.vm, identity_.incarnation)
        , recorder_(clock)
        , slot_(store, clock, settings.region, settings.vm, identity_.incarnation)
        , engine_(clock, recorder_, slot_, settings.vm, settings.region, randomSeed)
        , mesh_(transport, clock, hybridClock_, timeline_, {settings.vm, identity_.incarnation, settings.seeds})
        , feed_(store, clock, timeline_, mesh_, generations_, slot_, engine_, settings.seeds.size(), randomSeed + 1)
        , pool_(clock)
        , forwarder_(engine_, pool_, clock, {settings.bufferBytes, settings.bodyTimeoutMs})
        , prober_(clock)
        , api_(engine_, forwarder_, timeline_, {[this] { return status(); }, [this] { return metrics(); }}, settings.trustClientParameter)
        , server_(
              settings.callerAddress, [this](Callers::CallerExchange &exchange) { api_.handle(exchange); },
              {settings.headerTimeoutMs, settings.idleTimeoutMs, settings.maxConnections, settings.maxHeaderBytes}, clock)
    {
        for (std::size_t group = 0; group < Nodes::reportGroups; ++group) {
            zoneWriters_.push_back(std::make_unique<ZoneWriter>(store, clock, groupName(settings.zone, group), settings.vm, identity_.incarnation));
        }
    }

    int run(const std::function<StopRequest()> &stopRequested)
    {
        timeline_.record(Base::EventKind::Started, 0, settings_.vm, "");
        startMesh();
        feed_.start();
        workers_.push_back(std::make_unique<Base::Worker>([this] { return tick(); }));
        workers_.push_back(std::make_unique<Base::Worker>([this] { return refreshSlot(); }));
        workers_.push_back(std::make_unique<Base::Worker>([this] { return probe(); }));
        workers_.push_back(std::make_unique<Base::Worker>([this] { return report(); }));
        server_.start();
        while (stopRequested() == StopRequest::None) {
            Poco::Thread::sleep(stopCheckMs);
        }
        return drain(stopRequested);
    }

private:
    void startMesh()
    {
        Nodes::MeshHandlers handlers;
        handlers.generationSeen = [this](std::uint64_t generation, const std::string &digest) { feed_.generationSeen(generation, digest); };
        handlers.listReceived = [this](const Platform::ListDelta &delta) { feed_.listSeen(delta); };
        handlers.reportReceived = [this](const Nodes::Report &report) { zoneWriters_[Nodes::reportGroupOf(report.node)]->receive(report); };
        handlers.contact = [this] { slot_.observeContact(); };
        handlers.part = [this](const std::string &digest) { return generations_.part(digest); };
        handlers.listDelta = [this](Platform::Version known) { return feed_.listDelta(known); };
        mesh_.start(std::move(handlers));
    }

    std::int64_t tick()
    {
        slot_.tick();
        slot_.setRivals(rivals());
        mesh_.tick();
        engine_.setUnavailable(mesh_.unavailable());
        engine_.releaseDue();
        engine_.rebuild();
        noteReadiness();
        const Nodes::GenerationId current = generations_.current();
        mesh_.setState(current.generation, current.manifestDigest, engine_.isReady() && !engine_.isDraining());
        const auto table = engine_.table();
        const StopChanges stops = recorder_.followStops(*table);
        for (const std::string &stop : stops.started) {
            timeline_.record(Base::EventKind::StopStarted, current.generation, stop, "declared start");
        }
        for (const std::string &stop : stops.drained) {
            timeline_.record(Base::EventKind::StopDrained, current.generation, stop, "nothing in flight");
        }
        if (++ticks_ % ticksPerSample == 0) {
            recorder_.sampleHeadroom(*table);
            noteLeaving(*table);
            pool_.prune();
        }
        return tickMs;
    }

    void noteLeaving(const Steering::RoutingTable &table)
    {
        std::set<std::string> leaving;
        for (const Steering::PlaceEntry &place : table.places) {
            for (const Steering::ServerEntry &server : place.servers) {
                const bool listed = server.vm.state == Steering::VmState::Leaving;
                if (!listed && !server.load->isLeaving(clock_.monotonic())) {
                    continue;
                }
                leaving.insert(server.vm.id);
                if (!leaving_.contains(server.vm.id)) {
                    timeline_.record(Base::EventKind::UpstreamLeaving, table.configuration->generation, server.vm.id, listed ? "list" : "said so itself");
                }
            }
        }
        leaving_ = std::move(leaving);
    }

    std::size_t rivals() const
    {
        const std::shared_ptr<const Platform::VmList> list = feed_.list();
        return static_cast<std::size_t>(std::count_if(list->vms.begin(), list->vms.end(),
            [this](const Steering::Vm &vm) { return vm.kind == Steering::VmKind::Entry && vm.region == settings_.region && vm.id != settings_.vm; }));
    }

    void noteReadiness()
    {
        const bool ready = engine_.isReady();
        if (ready != ready_) {
            ready_ = ready;
            timeline_.record(ready ? Base::EventKind::Ready : Base::EventKind::NotReady, generations_.current().generation, settings_.vm, "");
        }
        const auto slot = slot_.usable();
        if (slot.has_value() != hadSlot_) {
            hadSlot_ = slot.has_value();
            const std::string name = slot ? slot->region + "/" + std::to_string(slot->index) : settings_.region;
            timeline_.record(slot ? Base::EventKind::SlotClaimed : Base::EventKind::SlotLost, generations_.current().generation, name, "");
        }
    }

    std::int64_t slotPauseMs()
    {
        const std::uint64_t spread = Steering::hashOf(settings_.vm, ++slotChecks_) % slotJitterMs;
        return slotCheckMs + static_cast<std::int64_t>(spread);
    }

    std::int64_t refreshSlot()
    {
        const auto configuration = generations_.configuration();
        if (engine_.isDraining() || configuration->objects.fleets.empty()) {
            return slotPauseMs();
        }
        std::int64_t vmSlots = 0;
        for (const Steering::FleetRegion &region : configuration->objects.fleets.front().regions) {
            if (region.region == settings_.region) {
                vmSlots = region.vmSlots;
            }
        }
        const bool due = !slot_.usable() || clock_.monotonic() - slotVerified_ >= feed_.scaledByFleet(slotVerifyMs);
        if (due && slot_.refresh(*feed_.list(), vmSlots)) {
            slotVerified_ = clock_.monotonic();
            engine_.rebuild();
        }
        return slotPauseMs();
    }

    std::int64_t probe()
    {
        std::vector<Upstreams::ProbeTarget> targets;
        const auto table = engine_.table();
        for (const Steering::PlaceEntry &place : table->places) {
            for (const Steering::ServerEntry &server : place.servers) {
                if (server.units > 0) {
                    targets.push_back({server.vm.id, {server.vm.host, server.vm.port}, server.load});
                }
            }
        }
        probes_ += prober_.run(targets);
        return probeIntervalMs;
    }

    std::int64_t report()
    {
        const nlohmann::json state = status();
        for (const MonthFigures &month : recorder_.figures()) {
            const Nodes::Report own{settings_.vm, identity_.incarnation, encodeReport(state, month.month, month.figures)};
            mesh_.sendReport(own);
            const std::size_t group = Nodes::reportGroupOf(own.node);
            if (mesh_.collects(group)) {
                zoneWriters_[group]->receive(own);
            }
        }
        for (std::size_t group = 0; group < zoneWriters_.size(); ++group) {
            zoneWriters_[group]->flush(mesh_.collects(group) && !engine_.isDraining());
        }
        return settings_.reportIntervalMs;
    }

    nlohmann::json status() const
    {
        return statusOf(identity_, engine_, generations_, mesh_, recorder_, feed_.platformReachable(), clock_);
    }

    std::string metrics()
    {
        prometheus::Registry registry;
        const auto gauge = [&registry](const std::string &name, const std::string &help, double value) {
            prometheus::BuildGauge().Name("wasabistair_" + name).Help(help).Register(registry).Add({}).Set(value);
        };
        const Nodes::MeshStatus links = mesh_.status();
        gauge("generation", "Generation in force.", static_cast<double>(generations_.current().generation));
        gauge("ready", "1 when this VM takes requests.", engine_.isReady() ? 1 : 0);
        gauge("draining", "1 when this VM is leaving.", engine_.isDraining() ? 1 : 0);
        gauge("platform_reachable", "1 when the last call to the platform succeeded.", feed_.platformReachable() ? 1 : 0);
        gauge("node_links", "Connections to other processes of the system.", static_cast<double>(links.linksUp));
        gauge("caller_connections", "Connections of callers.", server_.connections());
        gauge("upstream_connections", "Connections to upstreams.", static_cast<double>(pool_.openConnections()));
        gauge("buffered_bytes", "Bytes of request bodies in memory.", static_cast<double>(forwarder_.bufferedBytes()));
        const auto counter = [&registry](const std::string &name, const std::string &help, std::uint64_t value) {
            prometheus::BuildCounter().Name("wasabistair_" + name).Help(help).Register(registry).Add({}).Increment(static_cast<double>(value));
        };
        counter("retries_total", "Further tries of requests after a failed one.", forwarder_.tries().retries);
        counter("hedges_total", "Second tries beside a first that was slow to answer.", forwarder_.tries().hedges);
        counter("probes_total", "Health probes sent to upstreams.", probes_);
        counter("refused_messages_total", "Messages and connections of other processes that were refused.", links.refusedMessages);
        counter("node_bytes_sent_total", "Bytes sent to other processes of the system.", transport_.bytesSent());
        counter("node_bytes_received_total", "Bytes received from other processes of the system.", transport_.bytesReceived());
        counter("platform_bytes_total", "Bytes of calls to the platform, both ways.", store_.bytes());
        auto &calls = prometheus::BuildCounter().Name("wasabistair_platform_calls_total").Help("Calls to the platform.").Register(registry);
        for (std::size_t i = 0; i < Platform::callKindCount; ++i) {
            const auto kind = static_cast<Platform::CallKind>(i);
            calls.Add({{"kind", std::string(toString(kind))}}).Increment(static_cast<double>(store_.calls(kind)));
        }
        addRequestMetrics(registry);
        return prometheus::TextSerializer().Serialize(registry.Collect());
    }

    void addRequestMetrics(prometheus::Registry &registry)
    {
        auto &requests = prometheus::BuildCounter().Name("wasabistair_requests_total").Help("Requests of callers this month.").Register(registry);
        const Operators::Figures figures = recorder_.figures().front().figures;
        for (const auto &entry : figures.places) {
            const auto add = [&](const std::string &outcome, std::uint64_t value) {
                requests.Add({{"service", entry.first.first}, {"place", entry.first.second}, {"outcome", outcome}}).Increment(static_cast<double>(value));
            };
            add("answered", entry.second.answered);
            add("refused", entry.second.refused);
            add("failed", entry.second.failed);
        }
    }

    /// Out of the look-up answers first, then serve until the last cached answer has run out, then
    /// finish what is in flight.
    int drain(const std::function<StopRequest()> &stopRequested)
    {
        engine_.setDraining();
        timeline_.record(Base::EventKind::Draining, generations_.current().generation, settings_.vm, "stop requested");
        std::int64_t cachedMs = announceMs + drainMarginMs;
        std::int64_t longestMs = 0;
        for (const Steering::ServiceEntry &service : engine_.table()->services) {
            cachedMs = std::max(cachedMs, service.service->lookupMaxAgeSeconds * msPerSecond + announceMs + drainMarginMs);
            longestMs = std::max(longestMs, service.service->deadlineMs);
        }
        const Base::MonotonicMs cachedUntil = clock_.monotonic() + cachedMs;
        while (clock_.monotonic() < cachedUntil) {
            if (stopRequested() == StopRequest::Now) {
                return 1;
            }
            Poco::Thread::sleep(stopCheckMs);
        }
        server_.stopAfterRequests();
        const Base::MonotonicMs end = clock_.monotonic() + longestMs + settings_.bodyTimeoutMs;
        while (!server_.awaitEnd(stopCheckMs)) {
            if (stopRequested() == StopRequest::Now || clock_.monotonic() >= end) {
                return 1;
            }
        }
        report();
        for (const auto &writer : zoneWriters_) {
            writer->release();
        }
        slot_.release();
        // Threads are not joined: a waiting watch would hold the end up for seconds.
        return 0;
    }

    const DaemonSettings settings_;
    const Base::Clock &clock_;
    Platform::HttpObjectStore &store_;
    Nodes::Transport &transport_;
    const Identity identity_;
    Base::HybridClock hybridClock_;
    Base::Timeline timeline_;
    Recorder recorder_;
    Platform::SlotClaim slot_;
    Engine engine_;
    Nodes::GenerationStore generations_;
    Nodes::Mesh mesh_;
    ConfigurationFeed feed_;
    std::vector<std::unique_ptr<ZoneWriter>> zoneWriters_;
    Upstreams::ConnectionPool pool_;
    Callers::Forwarder forwarder_;
    Upstreams::Prober prober_;
    ControlApi api_;
    Callers::CallerServer server_;
    std::vector<std::unique_ptr<Base::Worker>> workers_;
    std::atomic<std::uint64_t> probes_{0};
    std::int64_t ticks_ = 0;
    Base::MonotonicMs slotVerified_ = 0;
    std::uint64_t slotChecks_ = 0;
    std::set<std::string> leaving_;
    bool ready_ = false;
    bool hadSlot_ = false;
};

Daemon::Daemon(
    const DaemonSettings &settings, const Base::Clock &clock, Platform::HttpObjectStore &store, Nodes::Transport &transport, std::uint64_t randomSeed)
    : parts_(std::make_unique<Parts>(settings, clock, store, transport, randomSeed))
{}

Daemon::~Daemon() = default;

int Daemon::run(const std::function<StopRequest()> &stopRequested)
{
    return parts_->run(stopRequested);
}

} // namespace Wasabistair::App
