#pragma once

#include <steering/objects.h>

namespace Wasabistair::StandIns {

/// A valid set of objects. Sets with different @p variant differ in the service's deadline.
inline Steering::ObjectSet validObjects(int variant = 0)
{
    Steering::ObjectSet set;
    Steering::Service service;
    service.name = "orders";
    service.hosts = {"orders.test"};
    service.pathPrefix = "/";
    service.deadlineMs = 1'000 + variant;
    service.progressTimeoutMs = 1'000;
    service.maxAttempts = 1;
    service.lookupMaxAgeSeconds = 1;
    set.services = {service};
    set.places = {{"east", "orders", "r0", {"r0-a"}, 4, 2, 0, 400, 75, 0}};
    set.sites = {{"s0", "r0", {"r0-a"}}, {"s1", "r0", {"r0-b"}}};
    set.fleets = {{"fleet", {{"r0", 2}}}};
    return set;
}

} // namespace Wasabistair::StandIns
