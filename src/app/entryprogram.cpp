#include "entryprogram.h"

#include "entrynode.h"

#include <base/captureerror.h>
#include <base/heap.h>

#include <Poco/Exception.h>

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

std::atomic<int> stopSignals{0};
std::atomic<int> reloadSignals{0};

void onStopSignal(int)
{
    stopSignals.fetch_add(1);
}

void onReloadSignal(int)
{
    reloadSignals.fetch_add(1);
}

void logStart(const Adapter::VmSettings &settings, const EntryOptions &options, const std::string &file)
{
    const auto text = [](const Base::HostPort &address) { return address.host + ":" + std::to_string(address.port); };
    Base::log(Base::LogLevel::Info, "started",
        {{"vm", settings.locality.vm}, {"zone", settings.locality.zone}, {"region", settings.locality.region}, {"settings", file},
            {"callers", text(settings.callerAddress)}, {"peers", text(settings.peerAddress)}, {"metrics", text(settings.metricsAddress)},
            {"store", text(settings.storeAddress)}, {"memoryMb", settings.memoryMb}, {"graceMs", settings.bounds.stopGraceMs},
            {"lookupAgeMs", options.lookupAgeMs}, {"peerSilenceMs", options.peerSilenceMs}, {"maxConnections", options.maxConnections},
            {"bodyMemoryPercent", options.bodyMemoryPercent}});
}

void serveUntilStopped(EntryNode &node, const std::string &file, const Base::Clock &clock)
{
    int handledReloads = 0;
    Base::MonotonicMs checkedAt = clock.monotonic();
    while (stopSignals == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(signalPollMs));
        node.tick();
        const bool requested = reloadSignals != handledReloads;
        if (requested || clock.monotonic() - checkedAt >= settingsFileCheckMs) {
            handledReloads = reloadSignals;
            checkedAt = clock.monotonic();
            node.reload(file, requested);
        }
    }
    node.stop();
}

[[noreturn]] void endProcess(int code)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(logFlushMs));
    // Skips destructors, since threads of caller connections may still be in library calls. No state is left to save.
    std::_Exit(code);
}

int run(const Adapter::VmSettings &settings, const EntryOptions &options, const std::string &file)
{
    std::random_device device;
    const std::uint64_t seed = (std::uint64_t{device()} << 32) | device();
    const Base::SystemClock clock;
    logStart(settings, options, file);
    try {
        EntryNode node(settings, options, clock, seed);
        serveUntilStopped(node, file, clock);
        endProcess(0);
    } catch (const Poco::Exception &error) {
        Base::log(Base::LogLevel::Error, "cannot-start", {{"cause", error.displayText()}});
    } catch (const std::exception &error) {
        Base::log(Base::LogLevel::Error, "cannot-start", {{"cause", error.what()}});
    }
    endProcess(exitCannotStart);
}

} // namespace

int runEntryProgram(int argc, const char *const *argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    std::signal(SIGHUP, onReloadSignal);
    Base::configureHeap();
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
    return run(*settings.value, options, file);
}

} // namespace Wasabistair::App
