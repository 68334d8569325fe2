#include "routingtable.h"

#include "hash.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

constexpr WallMs msPerSecond = 1000;
constexpr std::int64_t unreachableDelayMs = INT64_MAX;

class TableBuilder
{
public:
    TableBuilder(const RoutingInputs &inputs, const RoutingTable *previous)
        : inputs_(inputs)
        , objects_(inputs.configuration->objects)
        , previous_(previous)
        , table_(std::make_shared<RoutingTable>())
    {
        indexPrevious();
    }

    std::shared_ptr<const RoutingTable> build()
    {
        table_->configuration = inputs_.configuration;
        table_->ownRegion = inputs_.ownRegion;
        table_->slot = inputs_.slot;
        table_->holdUntil = holdUntil();
        addPlaces();
        addServices();
        addEntryVms();
        return table_;
    }

private:
    void indexPrevious()
    {
        if (!previous_) {
            return;
        }
        for (const PlaceEntry &place : previous_->places) {
            previousPlaces_[place.place.name] = &place;
            for (const ServerEntry &server : place.servers) {
                previousServers_[server.vm.id] = &server;
            }
        }
        for (const ServiceEntry &service : previous_->services) {
            previousServices_[service.service->name] = &service;
        }
    }

    const Fleet *fleet() const
    {
        return objects_.fleets.empty() ? nullptr : &objects_.fleets.front();
    }

    bool isFirstConfiguration() const
    {
        return (!previous_ || previous_->configuration->generation == 0) && inputs_.configuration->generation > 0;
    }

    /// True when this VM held a VM slot under an earlier configuration, so that there are units to compare with.
    bool hadShares() const
    {
        return previous_ && previous_->slot && previous_->configuration->generation > 0;
    }

    bool sharesChanged() const
    {
        if (!previous_ || previous_->configuration->generation == 0) {
            return false;
        }
        const ObjectSet &before = previous_->configuration->objects;
        const bool slotChanged = previous_->slot && previous_->slot != inputs_.slot;
        return before.fleets != objects_.fleets || before.places != objects_.places || slotChanged;
    }

    MonotonicMs holdUntil() const
    {
        MonotonicMs hold = inputs_.gainHoldUntil;
        if (previous_) {
            hold = std::max(hold, previous_->holdUntil);
        }
        if (sharesChanged()) {
            hold = std::max(hold, inputs_.now + unitGainHoldMs);
        } else if (isFirstConfiguration()) {
            hold = std::max(hold, inputs_.now + inputs_.firstHoldMs);
        }
        return hold;
    }

    void addPlaces()
    {
        std::map<std::pair<std::string, std::string>, std::vector<const Vm *>> upstreams;
        for (const Vm &vm : inputs_.vms) {
            if (vm.kind == VmKind::Upstream) {
                upstreams[{vm.service, vm.zone}].push_back(&vm);
            }
        }
        for (const Place &place : objects_.places) {
            PlaceEntry entry{place, {}, nullptr, nullptr};
            for (const std::string &zone : place.zones) {
                for (const Vm *vm : upstreams[{place.service, zone}]) {
                    entry.servers.push_back(serverEntry(place, *vm));
                }
            }
            addLinkPacers(entry);
            table_->places.push_back(std::move(entry));
        }
    }

    ServerEntry serverEntry(const Place &place, const Vm &vm) const
    {
        ServerEntry entry;
        entry.vm = vm;
        entry.coldStartMs = place.coldStartSeconds * msPerSecond;
        if (fleet() && inputs_.slot) {
            entry.units = unitShare(place, *fleet(), *inputs_.slot, vm.id);
            entry.connections = std::max<std::int64_t>(1, place.connectionsPerServer / std::max<std::int64_t>(1, fleetSize(*fleet())));
        }
        const auto found = previousServers_.find(vm.id);
        entry.load = found == previousServers_.end() ? std::make_shared<ServerLoad>() : found->second->load;
        if (found != previousServers_.end() && hadShares()) {
            const ServerEntry &before = *found->second;
            const bool held = inputs_.now < previous_->holdUntil;
            entry.unitsBefore = held ? std::min(before.units, before.unitsBefore) : before.units;
        } else {
            entry.unitsBefore = inputs_.now < table_->holdUntil ? 0 : entry.units;
        }
        for (const PlannedStop &stop : objects_.plannedStops) {
            const bool concerned = stop.place == place.name && (stop.zone.empty() || stop.zone == vm.zone) && (stop.server.empty() || stop.server == vm.id);
            if (concerned) {
                entry.stops.push_back({stop.name, stop.start, stop.end});
            }
        }
        return entry;
    }

    const Link *linkTo(const std::string &region) const
    {
        return linkBetween(inputs_.ownRegion, region);
    }

    const Link *linkBetween(const std::string &one, const std::string &other) const
    {
        for (const Link &link : objects_.links) {
            if (link.regions == std::vector<std::string>{one, other} || link.regions == std::vector<std::string>{other, one}) {
                return &link;
            }
        }
        return nullptr;
    }

    void addLinkPacers(PlaceEntry &entry)
    {
        if (entry.place.region == inputs_.ownRegion) {
            return;
        }
        const Link *link = linkTo(entry.place.region);
        if (!link) {
            return;
        }
        auto &pacers = linkPacers_[link->name];
        if (!pacers.first) {
            pacers = previousLinkPacers(entry.place.region, linkShare(*link));
        }
        entry.uploadLink = pacers.first;
        entry.answerLink = pacers.second;
    }

    std::int64_t linkShare(const Link &link) const
    {
        if (!fleet()) {
            return 0;
        }
        for (const FleetRegion &region : fleet()->regions) {
            if (region.region == inputs_.ownRegion) {
                return linkShareBytesPerSecond(link, region.vmSlots);
            }
        }
        return 0;
    }

    std::pair<std::shared_ptr<LinkPacer>, std::shared_ptr<LinkPacer>> previousLinkPacers(const std::string &region, std::int64_t rate) const
    {
        for (const auto &[name, place] : previousPlaces_) {
            const bool same = place->place.region == region && place->uploadLink && place->uploadLink->bytesPerSecond() == std::max<std::int64_t>(1, rate);
            if (same) {
                return {place->uploadLink, place->answerLink};
            }
        }
        return {std::make_shared<LinkPacer>(rate), std::make_shared<LinkPacer>(rate)};
    }

    void addServices()
    {
        for (const Service &service : objects_.services) {
            ServiceEntry entry;
            entry.service = std::make_shared<const Service>(service);
            if (fleet()) {
                for (const FleetRegion &region : fleet()->regions) {
                    entry.placesByRegion[region.region] = placesByDistance(service.name, region.region);
                }
            }
            entry.placesByRegion.try_emplace(inputs_.ownRegion, placesByDistance(service.name, inputs_.ownRegion));
            const auto found = previousServices_.find(service.name);
            entry.retryBudget = found == previousServices_.end() ? std::make_shared<RetryBudget>() : found->second->retryBudget;
            addShifts(entry);
            entry.units = totalUnits(service.name);
            table_->services.push_back(std::move(entry));
        }
    }

    std::int64_t totalUnits(const std::string &service) const
    {
        std::int64_t units = 0;
        for (const PlaceEntry &place : table_->places) {
            if (place.place.service != service) {
                continue;
            }
            for (const ServerEntry &server : place.servers) {
                units += server.units;
            }
        }
        return units;
    }

    std::vector<std::uint16_t> placesByDistance(const std::string &service, const std::string &region) const
    {
        std::vector<std::tuple<std::int64_t, std::uint64_t, std::uint16_t>> ranked;
        for (std::size_t i = 0; i < table_->places.size(); ++i) {
            const Place &place = table_->places[i].place;
            if (place.service != service) {
                continue;
            }
            const Link *link = linkBetween(region, place.region);
            const std::int64_t delay = place.region == region ? -1 : (link ? link->delayMs : unreachableDelayMs);
            if (delay != unreachableDelayMs) {
                ranked.emplace_back(delay, hashOf(region + "/" + place.name), static_cast<std::uint16_t>(i));
            }
        }
        std::sort(ranked.begin(), ranked.end());
        std::vector<std::uint16_t> order;
        for (const auto &[delay, hash, index] : ranked) {
            order.push_back(index);
        }
        return order;
    }

    std::optional<std::uint16_t> placeIndex(const std::string &name) const
    {
        for (std::size_t i = 0; i < table_->places.size(); ++i) {
            if (table_->places[i].place.name == name) {
                return static_cast<std::uint16_t>(i);
            }
        }
        return std::nullopt;
    }

    void addShifts(ServiceEntry &entry)
    {
        for (const Shift &shift : objects_.shifts) {
            const auto from = placeIndex(shift.from);
            const auto to = placeIndex(shift.to);
            if (shift.service != entry.service->name || !from || !to) {
                continue;
            }
            ShiftEntry added{shift, *from, *to, 0, previousCounters(shift)};
            const auto position = inputs_.slot && fleet() ? fleetPosition(*fleet(), *inputs_.slot) : std::nullopt;
            if (position) {
                added.rateLimit = evenPart(shift.capRequestsPerSecond, fleetSize(*fleet()), *position, hashOf(shift.name));
            }
            entry.shifts.push_back(std::move(added));
        }
    }

    /// A shift keeps its counters only while its declaration is unchanged; a changed cap starts from zero.
    std::shared_ptr<ShiftCounters> previousCounters(const Shift &shift) const
    {
        const auto found = previousServices_.find(shift.service);
        if (found != previousServices_.end()) {
            for (const ShiftEntry &before : found->second->shifts) {
                if (before.shift == shift) {
                    return before.counters;
                }
            }
        }
        return std::make_shared<ShiftCounters>();
    }

    void addEntryVms()
    {
        for (const Vm &vm : inputs_.vms) {
            const auto &unavailable = inputs_.unavailableEntryVms;
            const bool usable = vm.state == VmState::Live && std::find(unavailable.begin(), unavailable.end(), vm.id) == unavailable.end();
            if (vm.kind == VmKind::Entry && usable) {
                table_->entryVms.push_back(vm);
            }
        }
        for (const Site &site : objects_.sites) {
            table_->sites.push_back(siteEntry(site));
        }
        table_->fallbackSite = siteEntry({"", inputs_.ownRegion, {}});
    }

    SiteEntry siteEntry(const Site &site) const
    {
        SiteEntry entry;
        for (std::size_t i = 0; i < table_->entryVms.size(); ++i) {
            const Vm &vm = table_->entryVms[i];
            const auto index = static_cast<std::uint32_t>(i);
            if (std::find(site.zones.begin(), site.zones.end(), vm.zone) != site.zones.end()) {
                entry.inSite.push_back(index);
            } else if (vm.region == site.region) {
                entry.inRegion.push_back(index);
            } else {
                entry.elsewhere.push_back(index);
            }
        }
        return entry;
    }

    const RoutingInputs &inputs_;
    const ObjectSet &objects_;
    const RoutingTable *previous_;
    std::shared_ptr<RoutingTable> table_;
    std::map<std::string, const PlaceEntry *> previousPlaces_;
    std::map<std::string, const ServerEntry *> previousServers_;
    std::map<std::string, const ServiceEntry *> previousServices_;
    std::map<std::string, std::pair<std::shared_ptr<LinkPacer>, std::shared_ptr<LinkPacer>>> linkPacers_;
};

} // namespace

std::shared_ptr<const RoutingTable> buildRoutingTable(const RoutingInputs &inputs, const RoutingTable *previous)
{
    return TableBuilder(inputs, previous).build();
}

std::optional<std::uint16_t> matchService(const RoutingTable &table, const std::string &host, const std::string &path)
{
    std::optional<std::uint16_t> best;
    std::size_t bestLength = 0;
    for (std::size_t i = 0; i < table.services.size(); ++i) {
        const Service &service = *table.services[i].service;
        const bool hostMatches = std::find(service.hosts.begin(), service.hosts.end(), host) != service.hosts.end();
        if (hostMatches && pathMatches(path, service.pathPrefix) && (!best || service.pathPrefix.size() > bestLength)) {
            best = static_cast<std::uint16_t>(i);
            bestLength = service.pathPrefix.size();
        }
    }
    return best;
}

std::optional<std::uint16_t> findService(const RoutingTable &table, const std::string &name)
{
    for (std::size_t i = 0; i < table.services.size(); ++i) {
        if (table.services[i].service->name == name) {
            return static_cast<std::uint16_t>(i);
        }
    }
    return std::nullopt;
}

} // namespace Wasabistair::Steering
