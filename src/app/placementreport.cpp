#include "placementreport.h"

#include <base/log.h>

#include <algorithm>
#include <cmath>

namespace Wasabistair::App {

namespace {

// The copies are logged when they have changed by this many a zone.
constexpr double loggedChange = 0.25;
constexpr double percent = 100;

int upstreamsInRegion(const Steering::ServiceSnapshot &service)
{
    return static_cast<int>(std::count_if(service.upstreams.begin(), service.upstreams.end(), [](const auto &upstream) { return upstream.local; }));
}

} // namespace

PlacementReport::PlacementReport(Steering::PlacementMode mode, int regions)
    : mode_(mode)
    , regions_(regions)
{}

void PlacementReport::update(const Steering::RoutingSnapshot &snapshot, std::int64_t elapsedMs, Base::MonotonicMs now)
{
    for (const auto &[name, service] : snapshot.services) {
        const bool byFinish = Steering::isPlacedByFinish(mode_, *service);
        const Steering::RegionCapacity capacity = Steering::regionCapacity(*service, now, byFinish);
        if (capacity.localSlots + capacity.remoteSlots <= 0) {
            continue;
        }
        std::atomic<double> &share = service->record->localShare;
        const bool isInitial = share.load() < 0 || service->record->requests.load() == 0;
        if (isInitial) {
            share.store(Steering::initialLocalShare(capacity, regions_));
        } else {
            share.store(byFinish ? Steering::nextShareByRoom(share.load(), capacity, elapsedMs) : Steering::nextLocalShare(share.load(), capacity, elapsedMs));
        }
        if (byFinish) {
            updateCopies(name, *service, capacity, elapsedMs, now);
        }
    }
}

void PlacementReport::updateCopies(
    const std::string &name, const Steering::ServiceSnapshot &service, const Steering::RegionCapacity &capacity, std::int64_t elapsedMs, Base::MonotonicMs now)
{
    Steering::PlacementRecord &record = service.record->placement;
    const Steering::CopyFigures figures = record.updateCopies(capacity.localLoad, upstreamsInRegion(service), elapsedMs, now);
    const double copies = record.copiesPerZone();
    const auto logged = loggedCopies_.try_emplace(name, Steering::fewestCopies).first;
    if (std::abs(copies - logged->second) < loggedChange) {
        return;
    }
    logged->second = copies;
    const Steering::WorkFigures work = record.figures();
    Base::log(Base::LogLevel::Info, "key-copies",
        {{"service", name}, {"copiesPercent", static_cast<int>(percent * copies)}, {"forgottenPercent", static_cast<int>(percent * figures.forgottenRate)},
            {"keysPerUpstream", static_cast<int>(figures.keysPerUpstream)}, {"knownMs", static_cast<int>(work.knownMs)},
            {"unknownMs", static_cast<int>(work.unknownMs)}, {"localSharePercent", static_cast<int>(percent * service.record->localShare.load())},
            {"localLoadPercent", static_cast<int>(percent * capacity.localLoad)}, {"remoteLoadPercent", static_cast<int>(percent * capacity.remoteLoad)}});
}

void PlacementReport::write(std::ostream &text, const Steering::RoutingSnapshot &snapshot) const
{
    for (const auto &[name, service] : snapshot.services) {
        if (!Steering::isPlacedByFinish(mode_, *service)) {
            continue;
        }
        const Steering::WorkFigures work = service->record->placement.figures();
        const auto gauge = [&text, &serviceName = name](const char *metric, double value) {
            text << "wasabistair_" << metric << "{service=\"" << serviceName << "\"} " << value << "\n";
        };
        gauge("key_copies_per_zone", service->record->placement.copiesPerZone());
        gauge("local_share", service->record->localShare.load());
        gauge("work_known_ms", work.knownMs);
        gauge("work_unknown_ms", work.unknownMs);
        gauge("key_forgotten_ratio", 1 - work.hitRates.at(static_cast<std::size_t>(Steering::KeyKnowledge::UsedLately)));
        gauge("key_known_by_design_ratio", work.hitRates.at(static_cast<std::size_t>(Steering::KeyKnowledge::ByDesign)));
    }
}

} // namespace Wasabistair::App
