#pragma once

#include "daemonsettings.h"

#include <base/clock.h>
#include <nodes/transport.h>
#include <platform/httpobjectstore.h>

#include <atomic>
#include <functional>
#include <memory>

namespace Wasabistair::App {

/// Whether the process should continue, drain and exit, or exit immediately.
enum class StopRequest {
    None,
    Drain,
    Now,
};

/// Creates and connects all components and runs until a stop is requested.
class Daemon
{
public:
    Daemon(const DaemonSettings &settings, const Base::Clock &clock, Platform::HttpObjectStore &store, Nodes::Transport &transport, std::uint64_t randomSeed);
    ~Daemon();

    /// Blocks until @p stopRequested requests a stop and the process has drained. Returns the exit code.
    int run(const std::function<StopRequest()> &stopRequested);

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
};

} // namespace Wasabistair::App
