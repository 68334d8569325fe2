#include "program.h"
#include "daemon.h"
#include "daemonsettings.h"
#include "entryprogram.h"

#include <base/log.h>
#include <nodes/websockettransport.h>
#include <platform/httpobjectstore.h>

#include <Poco/Exception.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string_view>

namespace {

using namespace Wasabistair;

constexpr int exitBadSettings = 2;
constexpr int exitCannotStart = 3;

std::atomic<int> stopSignals{0};

void onStopSignal(int)
{
    stopSignals.fetch_add(1);
}

App::StopRequest stopRequested()
{
    switch (stopSignals.load()) {
    case 0:
        return App::StopRequest::None;
    case 1:
        return App::StopRequest::Drain;
    default:
        return App::StopRequest::Now;
    }
}

int run(const App::DaemonSettings &settings)
{
    std::random_device device;
    const std::uint64_t seed = (std::uint64_t{device()} << 32) | device();
    const Base::SystemClock clock;
    Platform::HttpObjectStore store(settings.platform, settings.platformTimeoutMs);
    Nodes::WebSocketTransport transport(settings.nodeAddress.host, settings.nodeAddress.port);
    try {
        App::Daemon daemon(settings, clock, store, transport, seed);
        const int code = daemon.run(stopRequested);
        Base::log(Base::LogLevel::Info, "stopped", {{"vm", settings.vm}, {"code", code}});
        // Skips destructors, since threads of closed connections may still be in library calls. No state is left to save.
        std::cerr.flush();
        std::_Exit(code);
    } catch (const Poco::Exception &error) {
        Base::log(Base::LogLevel::Error, "cannot-start", {{"cause", error.displayText()}});
    } catch (const std::exception &error) {
        Base::log(Base::LogLevel::Error, "cannot-start", {{"cause", error.what()}});
    }
    std::_Exit(exitCannotStart);
}

} // namespace

int wasabistairMain(int argc, char **argv)
{
    // "wasabistaird entry" runs on the users' platform with its store and formats. Without "entry", the product's own ones are used.
    if (argc > 1 && std::string_view(argv[1]) == "entry") {
        return App::runEntryProgram(argc - 1, argv + 1);
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onStopSignal);
    std::signal(SIGINT, onStopSignal);
    App::unblockControlSignals();
    const Base::Settings settings(App::daemonSettingSpecs(), argc, argv);
    if (settings.helpRequested()) {
        std::cout << settings.help("wasabistaird");
        return 0;
    }
    App::DaemonSettings checked;
    std::vector<Base::SettingFault> faults = settings.faults();
    const auto settingFaults = App::readDaemonSettings(settings, checked);
    faults.insert(faults.end(), settingFaults.begin(), settingFaults.end());
    for (const std::string &argument : settings.positional()) {
        faults.push_back({Base::SettingFaultKind::Unknown, argument, ""});
    }
    if (!faults.empty()) {
        for (const Base::SettingFault &fault : faults) {
            std::cerr << "wasabistaird: " << Base::toString(fault) << "\n";
        }
        return exitBadSettings;
    }
    if (settings.flag("print-settings")) {
        std::cout << settings.describe();
        return 0;
    }
    Base::configureLog(checked.logLevel, Base::LogOutput::StandardOutput);
    return run(checked);
}
