#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Wasabistair::Steering {

/// Request for tokens of one team.
struct QuotaAsk {
    std::string team;
    std::int64_t tokens = 0;
    /// Never used twice by one incarnation of the sender.
    std::uint64_t sequence = 0;

    auto operator<=>(const QuotaAsk &) const = default;
};

/// Answer to a QuotaAsk.
struct QuotaGrant {
    std::uint64_t sequence = 0;
    std::int64_t tokens = 0;
    /// Time in ms after which to ask again; 0 when all tokens were granted.
    std::int64_t nextInMs = 0;
    /// False: the sender doesn't keep the team, or not yet.
    bool isKeeper = true;

    auto operator<=>(const QuotaGrant &) const = default;
};

/// An ask and the part and VM that it goes to.
struct AddressedAsk {
    std::string vm;
    QuotaAsk ask;

    auto operator<=>(const AddressedAsk &) const = default;
};

/// The VM that keeps a team in one part; the own part comes first.
struct TeamKeeper {
    std::string part;
    std::string vm;

    auto operator<=>(const TeamKeeper &) const = default;
};

/// Estimate of how often something happens, with a memory of about 1 s.
class EventRate
{
public:
    void add(double events, std::int64_t nowMs);
    /// Events per second.
    [[nodiscard]] double at(std::int64_t nowMs) const;

private:
    double perSecond_ = 0;
    std::int64_t updatedAtMs_ = 0;
};

/// Tokens that a VM was granted, its asks for more, and what it tells callers that are refused. Not thread-safe.
class QuotaBorrowing
{
public:
    explicit QuotaBorrowing(std::int64_t tokenLifeMs);

    /// Sets how long tokens last that are granted from now on.
    void setTokenLife(std::int64_t tokenLifeMs);
    /// Counts one request of @p team as demand.
    void countDemand(const std::string &team, std::int64_t nowMs);
    /// Takes a token; returns until when it may be used. A request that isn't waiting leaves the tokens to those that are.
    [[nodiscard]] std::optional<std::int64_t> take(const std::string &team, bool isWaiting, std::int64_t nowMs);
    void beginWait(const std::string &team);
    void endWait(const std::string &team);
    /// Returns a token that wasn't used.
    void giveBack(const std::string &team, std::int64_t validUntilMs, std::int64_t nowMs);

    /// Whether some team has fewer tokens than its demand will need soon.
    [[nodiscard]] bool isAnyTeamShort() const;
    [[nodiscard]] std::vector<std::string> shortTeams() const;
    /// The next ask for @p team to one of @p keepers, if one is due. To be called again until it returns nothing.
    [[nodiscard]] std::optional<AddressedAsk> nextAsk(const std::string &team, const std::vector<TeamKeeper> &keepers, std::int64_t nowMs);
    /// Returns the number of tokens that can be used. Grants that no ask waits for are ignored.
    std::int64_t receive(const std::string &vm, const QuotaGrant &grant, std::int64_t nowMs);
    /// Something was received from @p vm.
    void noteAnswering(const std::string &vm);

    /// When a waiting request of @p team may get a token or should ask again; nothing when that isn't before @p untilMs.
    [[nodiscard]] std::optional<std::int64_t> nextChance(
        const std::string &team, const std::vector<TeamKeeper> &keepers, std::int64_t nowMs, std::int64_t untilMs) const;
    /// Whether a keeper of @p team answered lately.
    [[nodiscard]] bool hasKeeper(const std::string &team, std::int64_t nowMs) const;
    /// Time in ms after which a refused caller of @p team meets room. @p fairPerSecond: part of the team's rate that this VM gets at least.
    [[nodiscard]] std::int64_t retryAfterMs(const std::string &team, double fairPerSecond, std::int64_t nowMs);

    /// Drops what expired and teams without recent use.
    void clean(std::int64_t nowMs);
    [[nodiscard]] std::uint64_t lapsedTokens() const;

private:
    /// What this VM knows of one keeper of one team.
    struct KeeperState {
        std::int64_t askedAtMs = 0;
        std::int64_t askedTokens = 0;
        /// 0: no ask is open.
        std::uint64_t openSequence = 0;
        std::int64_t dryUntilMs = 0;
        std::int64_t grantedAtMs = -1;
        EventRate granted;
    };
    struct TeamState {
        /// Number of tokens by the time until which they may be used.
        std::map<std::int64_t, std::int64_t> tokens;
        std::int64_t tokenCount = 0;
        EventRate demand;
        EventRate granted;
        std::int64_t waiting = 0;
        std::int64_t usedAtMs = 0;
        /// Return time that the caller refused last was told.
        std::int64_t promisedAtMs = 0;
        std::map<std::string, KeeperState> keepers;
    };
    struct OpenAsk {
        std::string team;
        std::string vm;
        std::int64_t sentAtMs = 0;
        std::int64_t tokens = 0;
    };

    void dropExpired(TeamState &state, std::int64_t nowMs);
    [[nodiscard]] static std::int64_t wantedTokens(const TeamState &state, std::int64_t nowMs);
    [[nodiscard]] std::int64_t readyAtMs(const KeeperState &keeper, const std::string &vm) const;
    /// Marks keepers as silent that didn't answer in time. Returns the number of tokens that open asks may still bring.
    std::int64_t checkOpenAsks(TeamState &state, const std::vector<TeamKeeper> &keepers, std::int64_t nowMs);
    [[nodiscard]] AddressedAsk ask(const std::string &team, TeamState &state, const std::string &vm, std::int64_t tokens, std::int64_t nowMs);

    std::int64_t tokenLifeMs_;
    std::uint64_t sequence_ = 0;
    std::uint64_t lapsed_ = 0;
    std::unordered_map<std::string, TeamState> teams_;
    std::unordered_set<std::string> short_;
    std::map<std::uint64_t, OpenAsk> openAsks_;
    /// VMs that didn't answer, and until when they aren't asked.
    std::unordered_map<std::string, std::int64_t> silentUntilMs_;
};

} // namespace Wasabistair::Steering
