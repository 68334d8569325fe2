#pragma once

#include "engine.h"

#include <base/clock.h>
#include <base/timeline.h>
#include <callers/callerexchange.h>
#include <callers/forwarder.h>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>

namespace Wasabistair::App {

/// What the control API needs besides the engine.
struct ControlSources {
    std::function<nlohmann::json()> status;
    std::function<std::string()> metrics;
};

/// Answers look-ups, probes, metrics, status and time line, and hands requests of services to the forwarder.
class ControlApi
{
public:
    /// @p trustClientParameter: a look-up may name the caller's address with ?client=.
    ControlApi(Engine &engine, Callers::Forwarder &forwarder, const Base::Timeline &timeline, ControlSources sources, bool trustClientParameter);

    void handle(Callers::CallerExchange &exchange);

private:
    void handleControl(Callers::CallerExchange &exchange, const std::string &path, const std::string &query);
    void handleLookup(Callers::CallerExchange &exchange, const std::string &query);
    void handleReady(Callers::CallerExchange &exchange);

    Engine &engine_;
    Callers::Forwarder &forwarder_;
    const Base::Timeline &timeline_;
    const ControlSources sources_;
    const bool trustClientParameter_;
};

} // namespace Wasabistair::App
