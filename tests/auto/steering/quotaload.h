#pragma once

#include "quotafleet.h"

#include <set>

inline constexpr int partCount = 3;
inline constexpr std::int64_t startMs = 5'000;
inline constexpr std::int64_t endMs = 20'000;
inline constexpr std::int64_t windowMs = 5'000;
inline constexpr std::int64_t maxWaitMs = 90;
inline constexpr double usualPartOfLimit = 1 / 1.6;
inline constexpr double hotFactor = 7.5;

/// Requests of one team.
struct TeamLoad {
    std::string name;
    double perSecond = 0;
    std::vector<std::string> vms;
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::vector<std::int64_t> admittedAt;
};

struct WaitingRequest {
    std::string vm;
    std::size_t team = 0;
    std::int64_t untilMs = 0;
    std::int64_t lookAtMs = 0;
};

/// A fleet as large as the users' one, with requests that arrive at random at a few VMs per team.
struct QuotaLoad: QuotaFleet {
    QuotaLoad(int vmCount, int teamCount, int largeTeams)
    {
        terms = {partCount, 400, 10};
        delayMs
            = [this](const std::string &from, const std::string &to) { return from == to ? 0 : (members.at(from).vm.part == members.at(to).vm.part ? 3 : 22); };
        for (int i = 0; i < vmCount; ++i) {
            const std::string name = "vm" + std::to_string(i);
            members[name].vm = {name, "region" + std::to_string(i % partCount), 0, false};
        }
        for (int i = 0; i < teamCount; ++i) {
            const int smallTeamRate = 3 + i / 4;
            TeamLoad team{"team" + std::to_string(i), i < largeTeams ? 200.0 : smallTeamRate, {}, 0, 0, {}};
            // Callers of a small team sit at two VMs of one region.
            const int sites = i < largeTeams ? 12 : 2;
            for (int site = 0; site < sites; ++site) {
                team.vms.push_back("vm" + std::to_string((i * 7 + site * (i < largeTeams ? 7 : partCount)) % vmCount));
            }
            const double limit = team.perSecond / usualPartOfLimit;
            limits[team.name] = {limit, limit};
            loads.push_back(team);
        }
        loads[teamCount - 1].perSecond = 3;
        limits[loads[teamCount - 1].name] = {3 / usualPartOfLimit, 3 / usualPartOfLimit};
        for (auto &[name, member] : members) {
            start(member, 0);
        }
        auto state = store.back();
        for (auto &[name, vm] : state) {
            vm.confirmed = true;
        }
        push(std::move(state));
        for (auto &[name, member] : members) {
            read(member, store.size() - 1);
        }
        flying.clear();
        nowMs = startMs;
    }

    void arrive(std::size_t index)
    {
        TeamLoad &team = loads[index];
        // Most requests arrive at the first VMs.
        const double place = std::uniform_real_distribution<double>(0, 1)(random);
        Member &member = members.at(team.vms[static_cast<std::size_t>(place * place * static_cast<double>(team.vms.size()))]);
        team.requests += 1;
        requests += 1;
        if (begin(member, team.name)) {
            team.admittedAt.push_back(nowMs);
            return;
        }
        member.process->beginWait(team.name);
        waiting.push_back({member.vm.name, index, nowMs + maxWaitMs, nowMs});
    }

    /// Returns whether the request waits on.
    bool look(WaitingRequest &request)
    {
        TeamLoad &team = loads[request.team];
        Member &member = members.at(request.vm);
        if (lookAgain(member, team.name)) {
            team.admittedAt.push_back(nowMs);
        } else if (const auto next = nowMs < request.untilMs ? member.process->nextChance(team.name, nowMs, request.untilMs) : std::nullopt) {
            request.lookAtMs = *next;
            return true;
        } else {
            team.refused += 1;
            shortestRetryMs = std::min(shortestRetryMs, member.process->refuse(team.name, limits.at(team.name), nowMs).retryAfterMs);
        }
        member.process->endWait(team.name);
        return false;
    }

    void run()
    {
        for (; nowMs < endMs; ++nowMs) {
            std::set<std::string> served;
            for (std::size_t i = 0; i < flying.size();) {
                if (flying[i].arrivesAtMs > nowMs) {
                    ++i;
                    continue;
                }
                const Flying flight = flying[i];
                flying[i] = flying.back();
                flying.pop_back();
                messages += 1;
                onMessage(flight.message);
                deliver(flight);
                served.insert(flight.to);
            }
            for (std::size_t i = 0; i < loads.size(); ++i) {
                for (int n = std::poisson_distribution<int>(loads[i].perSecond / 1'000)(random); n > 0; --n) {
                    arrive(i);
                }
            }
            std::erase_if(waiting, [&](WaitingRequest &request) { return (request.lookAtMs <= nowMs || served.contains(request.vm)) && !look(request); });
            if (nowMs % 200 == 0) {
                for (auto &[name, member] : members) {
                    if (member.process) {
                        tick(member);
                    }
                }
            }
        }
    }

    double refusedPart(const std::vector<std::size_t> &teams) const
    {
        double refused = 0;
        double requests = 0;
        for (const std::size_t team : teams) {
            refused += static_cast<double>(loads[team].refused);
            requests += static_cast<double>(loads[team].requests);
        }
        return refused / requests;
    }

    std::size_t mostInAWindow(const TeamLoad &team) const
    {
        std::size_t most = 0;
        std::size_t begin = 0;
        for (std::size_t end = 0; end < team.admittedAt.size(); ++end) {
            for (; team.admittedAt[end] - team.admittedAt[begin] >= windowMs; ++begin) {}
            most = std::max(most, end - begin + 1);
        }
        return most;
    }

    std::mt19937_64 random{20261204};
    std::vector<TeamLoad> loads;
    std::vector<WaitingRequest> waiting;
    std::uint64_t messages = 0;
    std::uint64_t requests = 0;
    /// Called for each message that is delivered.
    std::function<void(const Wasabistair::Steering::QuotaMessage &)> onMessage = [](const auto &) {};
    std::int64_t shortestRetryMs = 1'000'000;
};
