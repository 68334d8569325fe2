#pragma once

#include "routingengine.h"

#include <base/clock.h>
#include <nodes/generationstore.h>
#include <nodes/mesh.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace Wasabistair::App {

/// Identifies this process to peers and operators.
struct Identity {
    std::string vm;
    std::string region;
    std::string zone;
    std::uint64_t incarnation = 0;
};

/// State of this process as JSON for operators; docs/wire-formats.md lists the fields.
[[nodiscard]] nlohmann::json statusOf(const Identity &identity, const RoutingEngine &engine, const Nodes::GenerationStore &generations, const Nodes::Mesh &mesh,
    const ReviewRecorder &recorder, bool platformReachable, const Base::Clock &clock);

} // namespace Wasabistair::App
