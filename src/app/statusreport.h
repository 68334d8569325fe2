#pragma once

#include "engine.h"

#include <base/clock.h>
#include <nodes/generationstore.h>
#include <nodes/mesh.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace Wasabistair::App {

/// Identity of this process.
struct Identity {
    std::string vm;
    std::string region;
    std::string zone;
    std::uint64_t incarnation = 0;
};

/// State of this process as operators see it; fields in docs/wire-formats.md.
[[nodiscard]] nlohmann::json statusOf(const Identity &identity, const Engine &engine, const Nodes::GenerationStore &generations, const Nodes::Mesh &mesh,
    const Recorder &recorder, bool platformReachable, const Base::Clock &clock);

} // namespace Wasabistair::App
