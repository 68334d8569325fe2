#include "entryprogram.h"

#include "entrynode.h"
#include "program.h"

#include <base/captureerror.h>
#include <base/processlimits.h>

#include <Poco/Exception.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

namespace Wasabistair::App {

namespace {

constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;
constexpr std::int64_t signalPollMs = 100;
// Time for the last log lines to reach standard output. Bounded, so that a reader that no longer reads can't block the exit.
constexpr std::int64_t logFlushMs = 60;
// Interval at which the settings file is read without a signal, since it may change without one.
constexpr std::int64_t settingsFileCheckMs = 5'000;

/// Time of the first signal to stop; 0 before it.
std::atomic<Base::MonotonicMs> stopRequestedAt{0};
std::atomic<int> reloadSignals{0};

void onStopSignal(int)
{
    Base::MonotonicMs none = 0;
    stopRequestedAt.compare_exchange_strong(none, Base::SystemClock().monotonic());
}

void onReloadSignal(int)
{
    reloadSignals.fetch_add(1);
}

void logStart(const Adapter::VmSettings &settings, const EntryOptions &options, const std::string &file, std::int64_t descriptorLimit)
{
    const auto text = [](const Base::HostPort &address) { return address.host + ":" + std::to_string(address.port); };
    Base::log(Base::LogLevel::Info, "started",
        {{"vm", settings.locality.vm}, {"zone", settings.locality.zone}, {"region", settings.locality.region}, {"settings", file},
            {"callers", text(settings.callerAddress)}, {"peers", text(settings.peerAddress)}, {"metrics", text(settings.metricsAddress)},
            {"store", text(settings.storeAddress)}, {"memoryMb", settings.memoryMb}, {"graceMs", settings.bounds.stopGraceMs},
            {"lookupAgeMs", options.lookupAgeMs}, {"peerSilenceMs", options.peerSilenceMs}, {"maxConnections", options.maxConnections},
            {"bodyMemoryPercent", options.bodyMemoryPercent}, {"descriptors", std::min(settings.maxDescriptors, descriptorLimit)}});
}

void serveUntilStopped(EntryNode &node, const std::string &file, const Base::Clock &clock)
{
    int handledReloads = 0;
    Base::MonotonicMs checkedAt = clock.monotonic();
    for (bool stopping = false; !stopping;) {
        std::this_thread::sleep_for(std::chrono::milliseconds(signalPollMs));
        // The settings, which may change without a signal, are read once more before the stop.
        stopping = stopRequestedAt != 0;
        const bool requested = reloadSignals != handledReloads;
        try {
            node.tick();
            if (requested || stopping || clock.monotonic() - checkedAt >= settingsFileCheckMs) {
                handledReloads = reloadSignals;
                checkedAt = clock.monotonic();
                node.reload(file, requested);
            }
        } catch (const std::exception &error) {
            // Such as std::bad_alloc; the requests in flight can still end.
            Base::log(Base::LogLevel::Error, "tick-failed", {{"cause", error.what()}});
        }
    }
    node.stop(stopRequestedAt);
}

void flushLog()
{
    std::this_thread::sleep_for(std::chrono::milliseconds(logFlushMs));
}

[[noreturn]] void endProcess(int code)
{
    flushLog();
    // Skips destructors, since threads of caller connections may still be in library calls. No state is left to save.
    std::_Exit(code);
}

/// Ends the process of a node whose intake has ended. Nothing may come between the last answers and the exit.
[[noreturn]] void endProcess(const EntryNode &node, int code)
{
    flushLog();
    node.awaitLastAnswers();
    std::_Exit(code);
}

[[noreturn]] void endAfterFailure(const std::string &cause)
{
    Base::log(Base::LogLevel::Error, "cannot-start", {{"cause", cause}});
    endProcess(exitCannotStart);
}

[[noreturn]] void run(const Adapter::VmSettings &settings, const EntryOptions &options, const std::string &file)
{
    std::random_device device;
    const std::uint64_t seed = (std::uint64_t{device()} << 32) | device();
    const Base::SystemClock clock;
    const std::int64_t descriptorLimit = Base::raiseDescriptorLimit();
    logStart(settings, options, file, descriptorLimit);
    try {
        EntryNode node(settings, options, clock, seed, descriptorLimit);
        try {
            node.start();
        } catch (const std::exception &error) {
            // Without destroying the node, which would wait for the threads that have been started.
            Base::log(Base::LogLevel::Error, "cannot-start", {{"cause", error.what()}});
            node.abandonStart();
            endProcess(node, exitCannotStart);
        }
        serveUntilStopped(node, file, clock);
        endProcess(node, 0);
    } catch (const Poco::Exception &error) {
        endAfterFailure(error.displayText());
    } catch (const std::exception &error) {
        endAfterFailure(error.what());
    }
}

} // namespace

int runEntryProgram(int argc, const char *const *argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGHUP, onReloadSignal);
    unblockControlSignals();
    Base::configureHeap();
    Base::configureStacks();
    const Base::Settings flags(entryOptionSpecs(), argc, argv);
    if (flags.helpRequested()) {
        std::cout << flags.help("wasabistaird entry");
        return 0;
    }
    EntryOptions options;
    std::vector<Base::SettingFault> faults = flags.faults();
    const auto optionFaults = readEntryOptions(flags, options);
    faults.insert(faults.end(), optionFaults.begin(), optionFaults.end());
    for (const Base::SettingFault &fault : faults) {
        std::cerr << "wasabistaird: " << Base::toString(fault) << "\n";
    }
    const std::string file = Adapter::settingsFilePath();
    auto settings = Base::captureError<Adapter::SettingsError>([&] { return Adapter::readSettingsFile(file); }, Adapter::SettingsError{});
    if (!settings) {
        std::cerr << "wasabistaird: " << Adapter::toString(*settings.error) << "\n";
    }
    if (!faults.empty() || !settings) {
        return exitBadSettings;
    }
    if (flags.flag("print-settings")) {
        std::cout << flags.describe();
        return 0;
    }
    Base::configureLog(options.logLevel, Base::LogOutput::StandardOutput);
    run(*settings.value, options, file);
}

} // namespace Wasabistair::App
