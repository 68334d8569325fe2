#include "daemon.h"

#include "configurationfeed.h"
#include "controlapi.h"
#include "reportcollector.h"
#include "routingengine.h"
#include "statusreport.h"

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
constexpr std::int64_t slotCheckIntervalMs = 250;
/// Upper bound of a pseudo-random addition to slotCheckIntervalMs, so that VMs of a zone that come back at the same time
/// rarely update the region's slots simultaneously.
constexpr std::uint64_t slotJitterMs = 750;
constexpr std::int64_t slotVerifyIntervalMs = 60'000;
constexpr std::int64_t stopPollMs = 50;
constexpr std::int64_t msPerSecond = 1'000;
/// Time for which a draining VM still takes requests after the last cached look-up answer has expired.
constexpr std::int64_t drainMarginMs = 1'000;
/// Time within which heartbeats announce to all VMs that this one is draining.
constexpr std::int64_t heartbeatSpreadMs = 500;

Identity identityOf(const DaemonSettings &settings, const Base::Clock &clock)
{
    return {settings.vm, settings.region, settings.zone, static_cast<std::uint64_t>(clock.wall())};
}

} // namespace

class Daemon::Impl
{
public:
    Impl(const DaemonSettings &settings, const Base::Clock &clock, Platform::HttpObjectStore &store, Nodes::Transport &transport, std::uint64_t randomSeed)
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
        , connectionPool_(clock)
        , forwarder_(engine_, connectionPool_, clock, {settings.bufferBytes, settings.bodyTimeoutMs})
        , prober_(clock)
        , controlApi_(engine_, forwarder_, timeline_, {[this] { return status(); }, [this] { return metrics(); }}, settings.trustClientParameter)
        , callerServer_(
              settings.callerAddress, [this](Callers::CallerExchange &exchange) { controlApi_.handle(exchange); },
              {settings.headerTimeoutMs, settings.idleTimeoutMs, settings.maxConnections, settings.maxHeaderBytes}, clock)
    {
        for (std::size_t group = 0; group < Nodes::reportGroupCount; ++group) {
            zoneWriters_.push_back(std::make_unique<ReportCollector>(store, clock, reportGroupName(settings.zone, group), settings.vm, identity_.incarnation));
        }
    }

    int run(const std::function<StopRequest()> &stopRequested)
    {
        timeline_.record(Base::EventKind::Started, 0, settings_.vm, "");
        startMesh();
        feed_.start();
        workers_.push_back(std::make_unique<Base::Worker>([this] { return tick(); }));
        workers_.push_back(std::make_unique<Base::Worker>([this] { return refreshSlot(); }));
        workers_.push_back(std::make_unique<Base::Worker>([this] { return probeUpstreams(); }));
        workers_.push_back(std::make_unique<Base::Worker>([this] { return sendReports(); }));
        callerServer_.start();
        while (stopRequested() == StopRequest::None) {
            Poco::Thread::sleep(stopPollMs);
        }
        return drain(stopRequested);
    }

private:
    void startMesh()
    {
        Nodes::MeshHandlers handlers;
        handlers.newerGenerationReceived = [this](std::uint64_t generation, const std::string &digest) { feed_.onPeerGeneration(generation, digest); };
        handlers.listReceived = [this](const Platform::ListDelta &delta) { feed_.onPeerVmList(delta); };
        handlers.reportReceived = [this](const Nodes::VmReport &report) { zoneWriters_[Nodes::reportGroupOf(report.node)]->receive(report); };
        handlers.contact = [this] { slot_.recordContact(); };
        handlers.part = [this](const std::string &digest) { return generations_.part(digest); };
        handlers.listDelta = [this](Platform::Version known) { return feed_.listDelta(known); };
        mesh_.start(std::move(handlers));
    }

    std::int64_t tick()
    {
        slot_.tick();
        slot_.setOtherEntryVmCount(otherEntryVmCount());
        mesh_.tick();
        engine_.setUnavailableEntryVms(mesh_.unavailable());
        engine_.releaseDue();
        engine_.rebuild();
        recordReadinessChanges();
        const Nodes::GenerationId current = generations_.current();
        mesh_.setState(current.generation, current.manifestDigest, engine_.isReady() && !engine_.isDraining());
        const auto table = engine_.table();
        const PlannedStopChanges stops = recorder_.updatePlannedStops(*table);
        for (const std::string &stop : stops.started) {
            timeline_.record(Base::EventKind::StopStarted, current.generation, stop, "declared start");
        }
        for (const std::string &stop : stops.drained) {
            timeline_.record(Base::EventKind::StopDrained, current.generation, stop, "nothing in flight");
        }
        if (++ticks_ % ticksPerSample == 0) {
            recorder_.sampleHeadroom(*table);
            recordLeavingUpstreams(*table);
            connectionPool_.closeExpired();
        }
        return tickMs;
    }

    void recordLeavingUpstreams(const Steering::RoutingTable &table)
    {
        std::set<std::string> leaving;
        for (const Steering::PlaceEntry &place : table.places) {
            for (const Steering::ServerEntry &server : place.servers) {
                const bool listed = server.vm.state == Steering::VmState::Leaving;
                if (!listed && !server.load->isLeaving(clock_.monotonic())) {
                    continue;
                }
                leaving.insert(server.vm.id);
                if (!leavingUpstreams_.contains(server.vm.id)) {
                    timeline_.record(Base::EventKind::UpstreamLeaving, table.configuration->generation, server.vm.id, listed ? "list" : "said so itself");
                }
            }
        }
        leavingUpstreams_ = std::move(leaving);
    }

    std::size_t otherEntryVmCount() const
    {
        const std::shared_ptr<const Platform::VmList> list = feed_.list();
        return static_cast<std::size_t>(std::count_if(list->vms.begin(), list->vms.end(),
            [this](const Steering::Vm &vm) { return vm.kind == Steering::VmKind::Entry && vm.region == settings_.region && vm.id != settings_.vm; }));
    }

    void recordReadinessChanges()
    {
        const bool ready = engine_.isReady();
        if (ready != wasReady_) {
            wasReady_ = ready;
            timeline_.record(ready ? Base::EventKind::Ready : Base::EventKind::NotReady, generations_.current().generation, settings_.vm, "");
        }
        const auto slot = slot_.usable();
        if (slot.has_value() != hadSlot_) {
            hadSlot_ = slot.has_value();
            const std::string name = slot ? slot->region + "/" + std::to_string(slot->index) : settings_.region;
            timeline_.record(slot ? Base::EventKind::SlotClaimed : Base::EventKind::SlotLost, generations_.current().generation, name, "");
        }
    }

    std::int64_t nextSlotCheckMs()
    {
        const std::uint64_t spread = Steering::hashOf(settings_.vm, ++slotCheckCount_) % slotJitterMs;
        return slotCheckIntervalMs + static_cast<std::int64_t>(spread);
    }

    std::int64_t refreshSlot()
    {
        const auto configuration = generations_.configuration();
        if (engine_.isDraining() || configuration->objects.fleets.empty()) {
            return nextSlotCheckMs();
        }
        std::int64_t vmSlots = 0;
        for (const Steering::FleetRegion &region : configuration->objects.fleets.front().regions) {
            if (region.region == settings_.region) {
                vmSlots = region.vmSlots;
            }
        }
        const bool due = !slot_.usable() || clock_.monotonic() - slotVerifiedAt_ >= feed_.scaledByFleet(slotVerifyIntervalMs);
        if (due && slot_.refresh(*feed_.list(), vmSlots)) {
            slotVerifiedAt_ = clock_.monotonic();
            engine_.rebuild();
        }
        return nextSlotCheckMs();
    }

    std::int64_t probeUpstreams()
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
        probesSent_ += prober_.run(targets);
        return probeIntervalMs;
    }

    std::int64_t sendReports()
    {
        const nlohmann::json state = status();
        for (const MonthFigures &month : recorder_.figures()) {
            const Nodes::VmReport own{settings_.vm, identity_.incarnation, encodeReport(state, month.month, month.figures)};
            mesh_.sendReport(own);
            const std::size_t group = Nodes::reportGroupOf(own.node);
            if (mesh_.collectsReportsOf(group)) {
                zoneWriters_[group]->receive(own);
            }
        }
        for (std::size_t group = 0; group < zoneWriters_.size(); ++group) {
            zoneWriters_[group]->flush(mesh_.collectsReportsOf(group) && !engine_.isDraining());
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
        gauge("caller_connections", "Connections of callers.", callerServer_.connections());
        gauge("upstream_connections", "Connections to upstreams.", static_cast<double>(connectionPool_.openConnections()));
        gauge("buffered_bytes", "Bytes of request bodies in memory.", static_cast<double>(forwarder_.bufferedBytes()));
        const auto counter = [&registry](const std::string &name, const std::string &help, std::uint64_t value) {
            prometheus::BuildCounter().Name("wasabistair_" + name).Help(help).Register(registry).Add({}).Increment(static_cast<double>(value));
        };
        counter("retries_total", "Further tries of requests after a failed one.", forwarder_.retryCounters().retries);
        counter("hedges_total", "Second tries beside a first that was slow to answer.", forwarder_.retryCounters().hedges);
        counter("probes_total", "Health probes sent to upstreams.", probesSent_);
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

    /// Removes this VM from look-up answers, serves until the last cached answer has expired, and then lets requests in flight finish.
    /// Returns the exit code.
    int drain(const std::function<StopRequest()> &stopRequested)
    {
        engine_.setDraining();
        timeline_.record(Base::EventKind::Draining, generations_.current().generation, settings_.vm, "stop requested");
        std::int64_t cachedAnswersMs = heartbeatSpreadMs + drainMarginMs;
        std::int64_t longestDeadlineMs = 0;
        for (const Steering::ServiceEntry &service : engine_.table()->services) {
            cachedAnswersMs = std::max(cachedAnswersMs, service.service->lookupMaxAgeSeconds * msPerSecond + heartbeatSpreadMs + drainMarginMs);
            longestDeadlineMs = std::max(longestDeadlineMs, service.service->deadlineMs);
        }
        const Base::MonotonicMs cachedAnswersExpireAt = clock_.monotonic() + cachedAnswersMs;
        while (clock_.monotonic() < cachedAnswersExpireAt) {
            if (stopRequested() == StopRequest::Now) {
                return 1;
            }
            Poco::Thread::sleep(stopPollMs);
        }
        callerServer_.drain();
        const Base::MonotonicMs end = clock_.monotonic() + longestDeadlineMs + settings_.bodyTimeoutMs;
        while (!callerServer_.waitUntilDrained(stopPollMs)) {
            if (stopRequested() == StopRequest::Now || clock_.monotonic() >= end) {
                return 1;
            }
        }
        sendReports();
        for (const auto &writer : zoneWriters_) {
            writer->release();
        }
        slot_.release();
        // A connection that was on its way from the queue to its thread wasn't counted before.
        while (clock_.monotonic() < end && !callerServer_.waitUntilDrained(stopPollMs)) {}
        // Threads are not joined: a pending watch would delay the exit for seconds.
        return 0;
    }

    const DaemonSettings settings_;
    const Base::Clock &clock_;
    Platform::HttpObjectStore &store_;
    Nodes::Transport &transport_;
    const Identity identity_;
    Base::HybridClock hybridClock_;
    Base::Timeline timeline_;
    ReviewRecorder recorder_;
    Platform::SlotClaim slot_;
    RoutingEngine engine_;
    Nodes::GenerationStore generations_;
    Nodes::Mesh mesh_;
    ConfigurationFeed feed_;
    std::vector<std::unique_ptr<ReportCollector>> zoneWriters_;
    Upstreams::ConnectionPool connectionPool_;
    Callers::Forwarder forwarder_;
    Upstreams::Prober prober_;
    ControlApi controlApi_;
    Callers::CallerServer callerServer_;
    std::vector<std::unique_ptr<Base::Worker>> workers_;
    std::atomic<std::uint64_t> probesSent_{0};
    std::int64_t ticks_ = 0;
    Base::MonotonicMs slotVerifiedAt_ = 0;
    std::uint64_t slotCheckCount_ = 0;
    std::set<std::string> leavingUpstreams_;
    bool wasReady_ = false;
    bool hadSlot_ = false;
};

Daemon::Daemon(
    const DaemonSettings &settings, const Base::Clock &clock, Platform::HttpObjectStore &store, Nodes::Transport &transport, std::uint64_t randomSeed)
    : impl_(std::make_unique<Impl>(settings, clock, store, transport, randomSeed))
{}

Daemon::~Daemon() = default;

int Daemon::run(const std::function<StopRequest()> &stopRequested)
{
    return impl_->run(stopRequested);
}

} // namespace Wasabistair::App
