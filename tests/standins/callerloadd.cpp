#include "callerload.h"

#include <cxxopts.hpp>

#include <Poco/StringTokenizer.h>

#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Wasabistair;
    using namespace Wasabistair::StandIns;
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("callerloadd", "Acts as callers and prints what they got.");
    options.add_options()("entries", "IP:PORT,…", cxxopts::value<std::string>());
    options.add_options()("host", "", cxxopts::value<std::string>());
    options.add_options()("path", "", cxxopts::value<std::string>()->default_value("/"));
    options.add_options()("callers", "", cxxopts::value<int>()->default_value("8"));
    options.add_options()("duration-ms", "", cxxopts::value<int>()->default_value("1000"));
    options.add_options()("pause-ms", "", cxxopts::value<int>()->default_value("0"));
    options.add_options()("post-percent", "", cxxopts::value<int>()->default_value("0"));
    options.add_options()("post-bytes", "", cxxopts::value<std::size_t>()->default_value("200"));
    options.add_options()("id-prefix", "", cxxopts::value<std::string>()->default_value("r"));
    const auto parsed = options.parse(argc, argv);
    LoadPlan plan;
    for (const std::string &entry : Poco::StringTokenizer(parsed["entries"].as<std::string>(), ",")) {
        plan.entries.push_back(Base::parseHostPort(entry).value());
    }
    plan.host = parsed["host"].as<std::string>();
    plan.path = parsed["path"].as<std::string>();
    plan.callers = parsed["callers"].as<int>();
    plan.durationMs = parsed["duration-ms"].as<int>();
    plan.pauseMs = parsed["pause-ms"].as<int>();
    plan.postPercent = parsed["post-percent"].as<int>();
    plan.postBytes = parsed["post-bytes"].as<std::size_t>();
    plan.idPrefix = parsed["id-prefix"].as<std::string>();
    const std::vector<CallerRecord> records = runLoad(plan);
    constexpr double usPerMs = 1'000;
    std::cout << "requests=" << records.size();
    for (const auto &[result, count] : countResults(records)) {
        std::cout << " " << result << "=" << count;
    }
    std::cout << " p50_ms=" << static_cast<double>(latencyQuantile(records, CallerResult::Answered, 0.5)) / usPerMs
              << " p99_ms=" << static_cast<double>(latencyQuantile(records, CallerResult::Answered, 0.99)) / usPerMs << std::endl;
    return records.empty() ? 1 : 0;
}
