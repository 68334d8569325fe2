#include "fakeplatform.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("fakeplatformd", "Stand-in for the platform's object API.");
    options.add_options()("port", "", cxxopts::value<std::uint16_t>()->default_value("0"));
    const auto parsed = options.parse(argc, argv);
    sigset_t stop;
    sigemptyset(&stop);
    sigaddset(&stop, SIGTERM);
    sigaddset(&stop, SIGINT);
    sigprocmask(SIG_BLOCK, &stop, nullptr);
    const Wasabistair::StandIns::FakePlatform platform(parsed["port"].as<std::uint16_t>());
    std::cout << "port=" << platform.port() << std::endl;
    int received = 0;
    sigwait(&stop, &received);
    std::_Exit(0);
}
