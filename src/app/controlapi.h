#pragma once

#include "routingengine.h"

#include <base/clock.h>
#include <base/timeline.h>
#include <callers/callerexchange.h>
#include <callers/forwarder.h>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>

namespace Wasabistair::App {

/// Sources of the status and metrics that the control API serves.
struct ControlSources {
    std::function<nlohmann::json()> status;
    std::function<std::string()> metrics;
};

/// Serves look-ups, health and readiness checks, metrics, status and timeline, and passes requests for services to the forwarder.
class ControlApi
{
public:
    /// If @p trustClientParameter is set, a look-up may give the caller's address with ?client=.
    ControlApi(RoutingEngine &engine, Callers::Forwarder &forwarder, const Base::Timeline &timeline, ControlSources sources, bool trustClientParameter);

    void handle(Callers::CallerExchange &exchange);

private:
    void handleControl(Callers::CallerExchange &exchange, const std::string &path, const std::string &query);
    void handleLookup(Callers::CallerExchange &exchange, const std::string &query);
    void handleReady(Callers::CallerExchange &exchange);

    RoutingEngine &engine_;
    Callers::Forwarder &forwarder_;
    const Base::Timeline &timeline_;
    const ControlSources sources_;
    const bool trustClientParameter_;
};

} // namespace Wasabistair::App
