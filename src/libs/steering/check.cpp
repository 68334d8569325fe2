#include "check.h"

#include "capacity.h"

#include <algorithm>
#include <set>

namespace Wasabistair::Steering {

namespace {

class ObjectChecker
{
public:
    explicit ObjectChecker(const ObjectSet &objects)
        : objects_(objects)
    {}

    std::vector<ValidationError> run()
    {
        checkNames();
        checkFleet();
        checkServices();
        checkPlaces();
        checkSites();
        checkLinks();
        checkShifts();
        checkPlannedStops();
        checkCapacity();
        checkBlocks();
        std::sort(faults_.begin(), faults_.end());
        return std::move(faults_);
    }

private:
    void add(ValidationErrorKind kind, const std::string &object, const std::string &field, const std::string &given, const std::string &hint)
    {
        faults_.push_back({kind, object, field, given, hint});
    }

    template<typename T>
    void checkUnique(const std::vector<T> &objects, const std::string &kind)
    {
        std::set<std::string> seen;
        for (const T &object : objects) {
            if (!seen.insert(object.name).second) {
                add(ValidationErrorKind::DuplicateName, kind + "/" + object.name, "name", object.name, "");
            }
        }
    }

    template<typename T>
    void checkReference(const std::vector<T> &objects, const std::string &kind, const std::string &object, const std::string &field, const std::string &name)
    {
        std::vector<std::string> names;
        for (const T &candidate : objects) {
            names.push_back(candidate.name);
        }
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            const auto suggestion = nearestMatch(name, names);
            add(ValidationErrorKind::MissingReference, object, field, name, suggestion ? "did you mean " + *suggestion + "?" : "no " + kind + " has this name");
        }
    }

    template<typename T>
    const T *find(const std::vector<T> &objects, const std::string &name) const
    {
        const auto found = std::find_if(objects.begin(), objects.end(), [&](const T &object) { return object.name == name; });
        return found == objects.end() ? nullptr : &*found;
    }

    void checkNames()
    {
        checkUnique(objects_.services, "Service");
        checkUnique(objects_.places, "Place");
        checkUnique(objects_.shifts, "Shift");
        checkUnique(objects_.plannedStops, "PlannedStop");
        checkUnique(objects_.sites, "Site");
        checkUnique(objects_.links, "Link");
    }

    void checkFleet()
    {
        if (objects_.fleets.size() != 1) {
            add(ValidationErrorKind::Conflict, "Fleet/", "", std::to_string(objects_.fleets.size()), "exactly one Fleet is required");
            return;
        }
        for (const FleetRegion &region : objects_.fleets.front().regions) {
            if (!regions_.insert(region.region).second) {
                add(ValidationErrorKind::DuplicateName, "Fleet/" + objects_.fleets.front().name, "regions", region.region, "");
            }
        }
    }

    void checkRegion(const std::string &object, const std::string &field, const std::string &region)
    {
        if (!regions_.contains(region)) {
            const auto suggestion = nearestMatch(region, {regions_.begin(), regions_.end()});
            add(ValidationErrorKind::MissingReference, object, field, region,
                suggestion ? "did you mean " + *suggestion + "?" : "the fleet has no such region");
        }
    }

    void checkServices()
    {
        std::set<std::pair<std::string, std::string>> routes;
        for (const Service &service : objects_.services) {
            for (const std::string &host : service.hosts) {
                if (!routes.emplace(host, service.pathPrefix).second) {
                    add(ValidationErrorKind::Conflict, "Service/" + service.name, "hosts", host, "another service has this host and path prefix");
                }
            }
            const auto inService = [&](const Place &place) { return place.service == service.name; };
            if (std::none_of(objects_.places.begin(), objects_.places.end(), inService)) {
                add(ValidationErrorKind::MissingReference, "Service/" + service.name, "", "", "no Place runs this service");
            }
        }
    }

    void checkPlaces()
    {
        std::set<std::pair<std::string, std::string>> zones;
        for (const Place &place : objects_.places) {
            const std::string label = "Place/" + place.name;
            checkReference(objects_.services, "Service", label, "service", place.service);
            checkRegion(label, "region", place.region);
            for (const std::string &zone : place.zones) {
                if (!zones.emplace(place.service, zone).second) {
                    add(ValidationErrorKind::Conflict, label, "zones", zone, "another place of the same service has this zone");
                }
            }
        }
    }

    void checkSites()
    {
        for (const Site &site : objects_.sites) {
            checkRegion("Site/" + site.name, "region", site.region);
        }
    }

    void checkLinks()
    {
        std::set<std::pair<std::string, std::string>> pairs;
        for (const Link &link : objects_.links) {
            const std::string label = "Link/" + link.name;
            if (link.regions.size() != 2 || link.regions[0] == link.regions[1]) {
                add(ValidationErrorKind::Conflict, label, "regions", "", "exactly two different regions are required");
                continue;
            }
            checkRegion(label, "regions", link.regions[0]);
            checkRegion(label, "regions", link.regions[1]);
            const auto pair = std::minmax(link.regions[0], link.regions[1]);
            if (!pairs.emplace(pair.first, pair.second).second) {
                add(ValidationErrorKind::Conflict, label, "regions", "", "another link connects these regions");
            }
        }
    }

    void checkShifts()
    {
        for (const Shift &shift : objects_.shifts) {
            checkShift(shift);
        }
        for (std::size_t i = 0; i < objects_.shifts.size(); ++i) {
            for (std::size_t j = i + 1; j < objects_.shifts.size(); ++j) {
                checkShiftPair(objects_.shifts[i], objects_.shifts[j]);
            }
        }
    }

    void checkShift(const Shift &shift)
    {
        const std::string label = "Shift/" + shift.name;
        checkReference(objects_.services, "Service", label, "service", shift.service);
        checkReference(objects_.places, "Place", label, "from", shift.from);
        checkReference(objects_.places, "Place", label, "to", shift.to);
        checkShiftPlace(shift, "from", shift.from);
        checkShiftPlace(shift, "to", shift.to);
        if (shift.from == shift.to) {
            add(ValidationErrorKind::Cycle, label, "to", shift.to, "from and to are the same place");
        }
        if ((shift.capPermille > 0) == (shift.capRequestsPerSecond > 0)) {
            add(ValidationErrorKind::Conflict, label, "capPermille", "", "exactly one of capPermille and capRequestsPerSecond must be above 0");
        }
        if (shift.end <= shift.start) {
            add(ValidationErrorKind::BadTime, label, "end", "", "the end must come after the start");
        }
        if (shift.rampSeconds > 0 && shift.start == 0) {
            add(ValidationErrorKind::MissingField, label, "start", "", "rampSeconds requires a start");
        }
        for (const PlannedStop &stop : objects_.plannedStops) {
            const bool wholePlace = stop.zone.empty() && stop.server.empty();
            if (wholePlace && stop.place == shift.to && overlap(shift.start, shift.end, stop.start, stop.end)) {
                add(ValidationErrorKind::Conflict, label, "to", shift.to, "PlannedStop/" + stop.name + " stops this place during the shift");
            }
        }
    }

    void checkShiftPlace(const Shift &shift, const std::string &field, const std::string &name)
    {
        const Place *place = find(objects_.places, name);
        if (place && place->service != shift.service) {
            add(ValidationErrorKind::Conflict, "Shift/" + shift.name, field, name, "the place belongs to Service/" + place->service);
        }
    }

    static bool overlap(WallMs start, WallMs end, WallMs otherStart, WallMs otherEnd)
    {
        return start < otherEnd && otherStart < end;
    }

    void checkShiftPair(const Shift &one, const Shift &two)
    {
        if (one.service != two.service || !overlap(one.start, one.end, two.start, two.end)) {
            return;
        }
        if (one.from == two.from) {
            add(ValidationErrorKind::Conflict, "Shift/" + two.name, "from", two.from, "Shift/" + one.name + " moves traffic from this place at the same time");
        }
        if (one.from == two.to && one.to == two.from) {
            add(ValidationErrorKind::Cycle, "Shift/" + two.name, "to", two.to,
                "Shift/" + one.name + " moves traffic in the opposite direction at the same time");
        }
    }

    void checkPlannedStops()
    {
        for (const PlannedStop &stop : objects_.plannedStops) {
            const std::string label = "PlannedStop/" + stop.name;
            checkReference(objects_.places, "Place", label, "place", stop.place);
            if (stop.end <= stop.start) {
                add(ValidationErrorKind::BadTime, label, "end", "", "the end must come after the start");
            }
            if (!stop.zone.empty() && !stop.server.empty()) {
                add(ValidationErrorKind::Conflict, label, "server", stop.server, "give a zone or a server, not both");
            }
            const Place *place = find(objects_.places, stop.place);
            if (place && !stop.zone.empty() && std::find(place->zones.begin(), place->zones.end(), stop.zone) == place->zones.end()) {
                const auto suggestion = nearestMatch(stop.zone, place->zones);
                add(ValidationErrorKind::MissingReference, label, "zone", stop.zone,
                    suggestion ? "did you mean " + *suggestion + "?" : "the place has no such zone");
            }
        }
    }

    void checkCapacity()
    {
        std::set<std::pair<std::string, std::vector<std::string>>> reported;
        for (const CapacityPoint &point : capacityOverTime(objects_)) {
            const Service *service = find(objects_.services, point.service);
            if (!service || point.slots >= service->requiredSlots || !reported.emplace(point.service, point.stops).second) {
                continue;
            }
            std::string stops;
            for (const std::string &name : point.stops) {
                stops += (stops.empty() ? "remain during PlannedStop/" : ", PlannedStop/") + name;
            }
            add(ValidationErrorKind::NotEnoughCapacity, "Service/" + point.service, "requiredSlots", std::to_string(service->requiredSlots),
                "only " + std::to_string(point.slots) + " slots " + (stops.empty() ? "are declared" : stops));
        }
    }

    void checkBlocks()
    {
        std::set<std::string> sites;
        for (const Site &site : objects_.sites) {
            sites.insert(site.name);
        }
        std::set<std::pair<std::uint32_t, std::uint8_t>> seen;
        for (const ClientBlock &block : objects_.clientBlocks) {
            const auto prefix = [&] { return prefixToString(block.address, block.prefixLength); };
            if (!sites.contains(block.site)) {
                const auto suggestion = nearestMatch(block.site, {sites.begin(), sites.end()});
                add(ValidationErrorKind::MissingReference, "Clients/" + prefix(), "site", block.site, suggestion ? "did you mean " + *suggestion + "?" : "");
            }
            if (!seen.emplace(block.address, block.prefixLength).second) {
                add(ValidationErrorKind::DuplicateName, "Clients/" + prefix(), "prefix", prefix(), "the prefix occurs more than once");
            }
        }
    }

    const ObjectSet &objects_;
    std::set<std::string> regions_;
    std::vector<ValidationError> faults_;
};

} // namespace

std::vector<ValidationError> checkObjects(const ObjectSet &objects)
{
    return ObjectChecker(objects).run();
}

} // namespace Wasabistair::Steering
