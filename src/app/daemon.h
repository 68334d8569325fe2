#pragma once

#include "daemonsettings.h"

#include <base/clock.h>
#include <nodes/transport.h>
#include <platform/httpobjectstore.h>

#include <atomic>
#include <functional>
#include <memory>

namespace Wasabistair::App {

/// Whether the process should go on, leave, or end at once.
enum class StopRequest {
    None,
    Drain,
    Now,
};

/// Wires all packages together and runs until asked to stop.
class Daemon
{
public:
    Daemon(const DaemonSettings &settings, const Base::Clock &clock, Platform::HttpObjectStore &store, Nodes::Transport &transport, std::uint64_t randomSeed);
    ~Daemon();

    /// Blocks until @p stopRequested asks to stop and the process has drained. Returns the exit code.
    int run(const std::function<StopRequest()> &stopRequested);

private:
    class Parts;

    std::unique_ptr<Parts> parts_;
};

} // namespace Wasabistair::App
