// Limits of teams: time of a check, and bytes that they cost each VM. No network.

#include "../tests/auto/steering/quotaload.h"

#include <base/clock.h>
#include <nodes/quotaexchange.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

using namespace Wasabistair;

namespace {

constexpr int teamCount = 10'000;
constexpr int checksPerTeam = 100;
constexpr std::int64_t tokenLifeMs = 3'600'000;

void measureCheck()
{
    const Base::SystemClock clock;
    Steering::EntryVm self;
    self.name = "self";
    Nodes::QuotaExchange exchange(self, false, {1, tokenLifeMs, 0}, clock);
    std::vector<Steering::TeamRule> teams;
    for (int i = 0; i < teamCount; ++i) {
        teams.push_back({"team" + std::to_string(i), std::nullopt, {100, 100}, {}});
        for (int token = 0; token < 10 * checksPerTeam; ++token) {
            exchange.refund(teams.back(), {true, 0, clock.monotonic() + tokenLifeMs});
        }
    }
    std::vector<std::int64_t> batchNs;
    for (int round = 0; round < checksPerTeam; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        int admitted = 0;
        // A step that has no divisor with the number of teams, so that neighbours in memory don't follow each other.
        for (int i = 0; i < teamCount; ++i) {
            admitted += exchange.admit(teams[static_cast<std::size_t>(i) * 7'919 % teamCount], clock.monotonic() + 1'000).admitted ? 1 : 0;
        }
        const auto ns = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() - begin).count();
        if (admitted != teamCount) {
            std::printf("only %d admitted\n", admitted);
        }
        batchNs.push_back(ns / teamCount);
    }
    std::sort(batchNs.begin(), batchNs.end());
    std::printf("check with a token at hand, %d teams: median %lld ns, slowest tenth from %lld ns\n", teamCount,
        static_cast<long long>(batchNs[batchNs.size() / 2]), static_cast<long long>(batchNs[batchNs.size() * 9 / 10]));
}

void measureBytes(int vmCount, int teams, int largeTeams, bool isOneTeamHot)
{
    QuotaLoad load(vmCount, teams, largeTeams);
    if (isOneTeamHot) {
        load.loads[0].perSecond *= hotFactor;
    }
    std::uint64_t bytes = 0;
    load.onMessage = [&](const Steering::QuotaMessage &message) {
        for (const auto &datagram : Nodes::encodeQuotaMessage(message)) {
            bytes += datagram.size();
        }
    };
    load.run();
    const double vmSeconds = static_cast<double>(vmCount) * static_cast<double>(endMs - startMs) / 1'000;
    std::printf("%d VMs, %d teams%s: %.1f requests/s, %.1f datagrams/s, %.0f bytes/s a VM, sent; UDP and IP headers not counted\n", vmCount, teams,
        isOneTeamHot ? ", one hot" : "", static_cast<double>(load.requests) / vmSeconds, static_cast<double>(load.messages) / vmSeconds,
        static_cast<double>(bytes) / vmSeconds);
}

} // namespace

int main()
{
    measureCheck();
    measureBytes(91, 88, 8, false);
    measureBytes(91, 88, 8, true);
    measureBytes(680, 660, 60, false);
    measureBytes(680, 660, 60, true);
    return 0;
}
