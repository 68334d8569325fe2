#include "capacity.h"

#include <algorithm>
#include <set>

namespace Wasabistair::Steering {

namespace {

bool isInEffect(const PlannedStop &stop, WallMs time)
{
    return time >= stop.start && time < stop.end;
}

/// Servers of @p place usable at @p time; appends the stops in effect to @p names. Servers are assumed to be spread evenly over
/// the zones; each stopped zone counts with the rounded-up number, so that capacity is never overestimated.
std::int64_t usableServers(const Place &place, const std::vector<PlannedStop> &stops, WallMs time, std::vector<std::string> &names)
{
    std::set<std::string> zones;
    std::set<std::string> servers;
    bool wholePlace = false;
    for (const PlannedStop &stop : stops) {
        if (stop.place != place.name || !isInEffect(stop, time)) {
            continue;
        }
        names.push_back(stop.name);
        if (!stop.server.empty()) {
            servers.insert(stop.server);
        } else if (!stop.zone.empty()) {
            zones.insert(stop.zone);
        } else {
            wholePlace = true;
        }
    }
    if (wholePlace) {
        return 0;
    }
    const auto zoneCount = static_cast<std::int64_t>(std::max<std::size_t>(1, place.zones.size()));
    const std::int64_t perZone = (place.servers + zoneCount - 1) / zoneCount;
    const std::int64_t stopped = perZone * static_cast<std::int64_t>(zones.size()) + static_cast<std::int64_t>(servers.size());
    return std::max<std::int64_t>(0, place.servers - stopped);
}

} // namespace

std::vector<CapacityPoint> capacityOverTime(const ObjectSet &objects)
{
    std::set<WallMs> times = {0};
    for (const PlannedStop &stop : objects.plannedStops) {
        times.insert(stop.start);
        if (stop.end != noEnd) {
            times.insert(stop.end);
        }
    }
    std::vector<CapacityPoint> points;
    for (const Service &service : objects.services) {
        for (const WallMs time : times) {
            CapacityPoint point{time, service.name, 0, {}};
            for (const Place &place : objects.places) {
                if (place.service == service.name) {
                    point.slots += usableServers(place, objects.plannedStops, time, point.stops) * place.slotsPerServer;
                }
            }
            points.push_back(std::move(point));
        }
    }
    return points;
}

} // namespace Wasabistair::Steering
