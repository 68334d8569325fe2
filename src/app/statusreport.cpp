#include "statusreport.h"

#include <steering/decision.h>

#include <nlohmann/json.hpp>

namespace Wasabistair::App {

namespace {

using Json = nlohmann::json;

Json shiftsOf(const Steering::RoutingTable &table, Base::WallMs wall)
{
    Json shifts = Json::array();
    for (const Steering::ServiceEntry &service : table.services) {
        for (const Steering::ShiftEntry &entry : service.shifts) {
            shifts.push_back({{"name", entry.shift.name}, {"active", Steering::isActive(entry.shift, wall)}, {"capPermille", entry.shift.capPermille},
                {"capRequestsPerSecond", entry.shift.capRequestsPerSecond}, {"moved", entry.counters->movedTotal.load()},
                {"stayed", entry.counters->stayedTotal.load()}});
        }
    }
    return shifts;
}

Json placesOf(const Steering::RoutingTable &table, Base::MonotonicMs now, Base::WallMs wall)
{
    Json places = Json::array();
    for (const Steering::PlaceEntry &place : table.places) {
        std::int64_t usable = 0;
        std::int64_t inFlight = 0;
        for (const Steering::ServerEntry &server : place.servers) {
            usable += Steering::usableUnits(table, server, now, wall);
            inFlight += server.load->inFlight();
        }
        places.push_back({{"name", place.place.name}, {"usable", usable}, {"inFlight", inFlight}});
    }
    return places;
}

} // namespace

Json statusOf(const Identity &identity, const RoutingEngine &engine, const Nodes::GenerationStore &generations, const Nodes::Mesh &mesh,
    const ReviewRecorder &recorder, bool platformReachable, const Base::Clock &clock)
{
    const auto table = engine.table();
    const Nodes::MeshStatus links = mesh.status();
    Json stops = Json::array();
    for (const auto &[name, stop] : recorder.stops()) {
        stops.push_back({{"name", name}, {"start", stop.start}, {"lastEnd", stop.lastEnd}, {"inFlight", stop.inFlight}});
    }
    Json refused = Json::array();
    for (const Nodes::GenerationId &id : generations.refused()) {
        refused.push_back(id.generation);
    }
    return {{"vm", identity.vm}, {"region", identity.region}, {"zone", identity.zone}, {"incarnation", identity.incarnation}, {"wall", clock.wall()},
        {"generation", table->configuration->generation}, {"refusedGenerations", refused}, {"ready", engine.isReady()}, {"draining", engine.isDraining()},
        {"slot", table->slot ? table->slot->region + "/" + std::to_string(table->slot->index) : ""}, {"platform", platformReachable}, {"relay", links.isRelay},
        {"linksUp", links.linksUp}, {"linksWanted", links.linksWanted}, {"refusedMessages", links.refusedMessages}, {"suspects", links.suspects},
        {"shifts", shiftsOf(*table, clock.wall())}, {"places", placesOf(*table, clock.monotonic(), clock.wall())}, {"stops", stops}};
}

} // namespace Wasabistair::App
