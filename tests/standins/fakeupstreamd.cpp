#include "fakeupstream.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>
#include <memory>

int main(int argc, char **argv)
{
    using namespace Wasabistair::StandIns;
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("fakeupstreamd", "Stand-in for servers of a service, on consecutive ports.");
    options.add_options()("name", "", cxxopts::value<std::string>()->default_value("server"));
    options.add_options()("first-port", "", cxxopts::value<std::uint16_t>());
    options.add_options()("servers", "", cxxopts::value<int>()->default_value("1"));
    options.add_options()("slots", "", cxxopts::value<int>()->default_value("4"));
    options.add_options()("queue", "", cxxopts::value<int>()->default_value("4"));
    options.add_options()("service-ms", "", cxxopts::value<double>()->default_value("5"));
    const auto parsed = options.parse(argc, argv);
    sigset_t stop;
    sigemptyset(&stop);
    sigaddset(&stop, SIGTERM);
    sigaddset(&stop, SIGINT);
    sigprocmask(SIG_BLOCK, &stop, nullptr);
    std::vector<std::unique_ptr<FakeUpstream>> servers;
    for (int i = 0; i < parsed["servers"].as<int>(); ++i) {
        UpstreamSettings settings;
        settings.name = parsed["name"].as<std::string>() + "-" + std::to_string(i);
        settings.port = static_cast<std::uint16_t>(parsed["first-port"].as<std::uint16_t>() + i);
        settings.slots = parsed["slots"].as<int>();
        settings.queue = parsed["queue"].as<int>();
        settings.serviceMs = parsed["service-ms"].as<double>();
        servers.push_back(std::make_unique<FakeUpstream>(settings));
    }
    std::cout << "ready" << std::endl;
    int received = 0;
    sigwait(&stop, &received);
    for (const auto &server : servers) {
        const UpstreamStatistics seen = server->statistics();
        std::cout << "port=" << server->port() << " ran=" << seen.ran << " shed=" << seen.shed << " cancelled=" << seen.cancelled
                  << " peak_running=" << seen.peakRunning << " peak_queued=" << seen.peakQueued << std::endl;
    }
    std::_Exit(0);
}
