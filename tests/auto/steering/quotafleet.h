#pragma once

#include <steering/quotamember.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// A fleet of QuotaMembers and the store with their registrations; messages and reads happen when the test says so.
struct QuotaFleet {
    struct Member {
        Wasabistair::Steering::QuotaVm vm;
        /// Null while the process is dead.
        std::unique_ptr<Wasabistair::Steering::QuotaMember> process;
        /// Index of the store's state that the process has read.
        std::size_t seen = 0;
        bool cutOff = false;
        /// Whether the registration has been in the store for long enough to be part of every copy.
        bool settled = false;
        std::int64_t registeredAtMs = 0;
        int registeredEra = 0;
    };
    struct Flying {
        std::string to;
        Wasabistair::Steering::QuotaMessage message;
        std::int64_t arrivesAtMs = 0;
    };
    using Limits = std::unordered_map<std::string, Wasabistair::Steering::TeamLimit>;

    Wasabistair::Steering::QuotaTerms terms;
    Limits limits;
    std::map<std::string, Member> members;
    using State = std::map<std::string, Wasabistair::Steering::QuotaVm>;
    /// States of the store in the order in which they held, and since when.
    std::vector<State> store{{}};
    std::vector<std::int64_t> heldSinceMs{0};
    int era = 1;
    /// Age of the oldest copy that the store may come back from; 0 when it never does.
    std::int64_t oldestCopyMs = 0;
    std::vector<Flying> flying;
    std::function<std::int64_t(const std::string &, const std::string &)> delayMs = [](const auto &, const auto &) { return 0; };
    std::int64_t nowMs = 1'000;
    std::uint64_t incarnations = 0;

    /// Starts a process that has read the store's state @p seen, which may be an old one, and registers.
    void start(Member &member, std::size_t seen)
    {
        member.vm.incarnation = ++incarnations;
        member.process = std::make_unique<Wasabistair::Steering::QuotaMember>(member.vm, terms);
        member.process->setLimits(limits, nowMs);
        const auto stored = store.back().find(member.vm.name);
        const bool isStored = stored != store.back().end();
        member.vm.confirmed = isStored && stored->second.confirmed;
        member.settled = oldestCopyMs == 0 || (isStored && !stored->second.provisional);
        registerNow(member);
        read(member, seen);
    }

    void read(Member &member, std::size_t revision)
    {
        member.seen = std::max(member.seen, revision);
        std::vector<Wasabistair::Steering::QuotaVm> vms;
        for (const auto &[name, vm] : store[revision]) {
            vms.push_back(vm);
        }
        Wasabistair::Steering::QuotaOutbox outbox;
        member.process->addRegistered(vms, nowMs, outbox);
        post(member, outbox);
    }

    void push(State state)
    {
        store.push_back(std::move(state));
        heldSinceMs.push_back(nowMs);
    }

    void registerNow(Member &member)
    {
        member.vm.provisional = !member.settled;
        member.registeredAtMs = nowMs;
        member.registeredEra = era;
        State state = store.back();
        state[member.vm.name] = member.vm;
        push(std::move(state));
    }

    /// Looks whether the store still has the registration after it came back from a copy.
    void checkRegistration(Member &member)
    {
        if (member.registeredEra != era) {
            member.vm.confirmed = member.vm.confirmed || member.process->keeping().self().confirmed;
            registerNow(member);
        }
    }

    void settleIfDue(Member &member)
    {
        if (!member.settled && member.registeredEra == era && nowMs >= member.registeredAtMs + oldestCopyMs) {
            member.settled = true;
            registerNow(member);
        }
    }

    void confirmIfDue(Member &member)
    {
        State state = store.back();
        const auto stored = state.find(member.vm.name);
        if (stored != state.end() && member.process->isConfirmable() && stored->second.incarnation == member.vm.incarnation && !stored->second.confirmed) {
            stored->second.confirmed = true;
            push(std::move(state));
        }
    }

    /// The store comes back from the copy of state @p revision.
    void restore(std::size_t revision)
    {
        era += 1;
        push(State(store[revision]));
    }

    /// Whether a copy of state @p revision is young enough to be the one that the store comes back from.
    bool isCopy(std::size_t revision) const
    {
        return revision + 1 == store.size() || heldSinceMs[revision + 1] > nowMs - oldestCopyMs;
    }

    void post(const Member &sender, Wasabistair::Steering::QuotaOutbox &outbox)
    {
        for (auto &[to, message] : outbox) {
            if (!sender.cutOff) {
                flying.push_back({to, message, nowMs + delayMs(sender.vm.name, to)});
            }
        }
        outbox.clear();
    }

    /// Returns whether the message brought tokens.
    bool deliver(const Flying &flight)
    {
        Member &receiver = members.at(flight.to);
        if (!receiver.process || receiver.cutOff) {
            return false;
        }
        Wasabistair::Steering::QuotaOutbox outbox;
        const bool tokens = receiver.process->receive(flight.message, nowMs, outbox);
        post(receiver, outbox);
        return tokens;
    }

    void tick(Member &member)
    {
        Wasabistair::Steering::QuotaOutbox outbox;
        member.process->tick(nowMs, outbox);
        post(member, outbox);
    }

    /// A request that waits for a token; returns whether it gets one now.
    bool lookAgain(Member &member, const std::string &team)
    {
        Wasabistair::Steering::QuotaOutbox outbox;
        const bool admitted = member.process->lookAgain(team, nowMs, outbox).has_value();
        post(member, outbox);
        return admitted;
    }

    /// A new request; returns whether there is a token for it.
    bool begin(Member &member, const std::string &team)
    {
        Wasabistair::Steering::QuotaOutbox outbox;
        const bool admitted = member.process->begin(team, nowMs, outbox).has_value();
        post(member, outbox);
        return admitted;
    }
};
