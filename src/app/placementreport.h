#pragma once

#include <base/clock.h>
#include <steering/routingsnapshot.h>

#include <cstdint>
#include <map>
#include <ostream>
#include <string>

namespace Wasabistair::App {

/// Adapts the share of the region and the copies of keys of every service, and logs what changed noticeably. Not thread-safe, except write().
class PlacementReport
{
public:
    PlacementReport(Steering::PlacementMode mode, int regions);

    /// Must be called several times a second; @p elapsedMs since the last call.
    void update(const Steering::RoutingSnapshot &snapshot, std::int64_t elapsedMs, Base::MonotonicMs now);
    /// Writes the metrics of the services whose requests are placed by expected finish.
    void write(std::ostream &text, const Steering::RoutingSnapshot &snapshot) const;

private:
    void updateCopies(const std::string &name, const Steering::ServiceSnapshot &service, const Steering::RegionCapacity &capacity, std::int64_t elapsedMs,
        Base::MonotonicMs now);

    const Steering::PlacementMode mode_;
    const int regions_;
    /// Copies a zone of each service when they were last logged.
    std::map<std::string, double> loggedCopies_;
};

} // namespace Wasabistair::App
