#include "quotaborrowing.h"

#include <algorithm>
#include <cmath>

namespace Wasabistair::Steering {

namespace {

constexpr double msPerSecond = 1'000;
constexpr double rateMemoryMs = 1'000;
// Demand that the stash covers: some round trips between regions, and well under the life of a token.
constexpr double stashSeconds = 0.25;
// Within a region an answer takes some ms, between regions some 45 ms, more on a busy processor. A waiting request must be able to
// ask other regions after its own one was silent.
constexpr std::int64_t ownPatienceMs = 35;
constexpr std::int64_t otherPatienceMs = 100;
// A silent VM is tried again after this, so that its part is used soon after its return.
constexpr std::int64_t silentPauseMs = 1'000;
constexpr std::int64_t maxTokensAsked = 1'000;
// Keepers that answered within this time count as there.
constexpr std::int64_t keeperMemoryMs = 3'000;
constexpr std::int64_t teamMemoryMs = 10'000;
// More waiting requests than this don't wait for tokens that keepers have put off.
constexpr std::int64_t maxWaitingAtDryKeepers = 4;
constexpr std::int64_t withoutKeeperRetryMs = 250;
constexpr std::int64_t minRetryMs = 50;
constexpr std::int64_t maxRetryMs = 5'000;

} // namespace

void EventRate::add(double events, std::int64_t nowMs)
{
    perSecond_ = at(nowMs) + events * msPerSecond / rateMemoryMs;
    updatedAtMs_ = std::max(updatedAtMs_, nowMs);
}

double EventRate::at(std::int64_t nowMs) const
{
    return perSecond_ * std::exp(-static_cast<double>(std::max<std::int64_t>(0, nowMs - updatedAtMs_)) / rateMemoryMs);
}

QuotaBorrowing::QuotaBorrowing(std::int64_t tokenLifeMs)
    : tokenLifeMs_(tokenLifeMs)
{}

void QuotaBorrowing::setTokenLife(std::int64_t tokenLifeMs)
{
    tokenLifeMs_ = tokenLifeMs;
}

void QuotaBorrowing::countDemand(const std::string &team, std::int64_t nowMs)
{
    TeamState &state = teams_[team];
    state.demand.add(1, nowMs);
    state.usedAtMs = nowMs;
}

void QuotaBorrowing::dropExpired(TeamState &state, std::int64_t nowMs)
{
    while (!state.tokens.empty() && state.tokens.begin()->first <= nowMs) {
        lapsed_ += static_cast<std::uint64_t>(state.tokens.begin()->second);
        state.tokenCount -= state.tokens.begin()->second;
        state.tokens.erase(state.tokens.begin());
    }
}

std::int64_t QuotaBorrowing::wantedTokens(const TeamState &state, std::int64_t nowMs)
{
    return std::min(maxTokensAsked, state.waiting + static_cast<std::int64_t>(std::floor(state.demand.at(nowMs) * stashSeconds)));
}

std::optional<std::int64_t> QuotaBorrowing::take(const std::string &team, bool isWaiting, std::int64_t nowMs)
{
    TeamState &state = teams_[team];
    dropExpired(state, nowMs);
    const std::int64_t reserved = isWaiting ? 0 : state.waiting;
    std::optional<std::int64_t> validUntilMs;
    if (state.tokenCount > reserved) {
        const auto first = state.tokens.begin();
        validUntilMs = first->first;
        state.tokenCount -= 1;
        first->second -= 1;
        if (first->second == 0) {
            state.tokens.erase(first);
        }
    }
    if (!validUntilMs || 2 * state.tokenCount < wantedTokens(state, nowMs)) {
        short_.insert(team);
    }
    return validUntilMs;
}

void QuotaBorrowing::beginWait(const std::string &team)
{
    teams_[team].waiting += 1;
    short_.insert(team);
}

void QuotaBorrowing::endWait(const std::string &team)
{
    teams_[team].waiting -= 1;
}

void QuotaBorrowing::giveBack(const std::string &team, std::int64_t validUntilMs, std::int64_t nowMs)
{
    if (validUntilMs <= nowMs) {
        lapsed_ += 1;
        return;
    }
    TeamState &state = teams_[team];
    state.tokens[validUntilMs] += 1;
    state.tokenCount += 1;
}

bool QuotaBorrowing::isAnyTeamShort() const
{
    return !short_.empty();
}

std::vector<std::string> QuotaBorrowing::shortTeams() const
{
    return {short_.begin(), short_.end()};
}

std::int64_t QuotaBorrowing::readyAtMs(const KeeperState &keeper, const std::string &vm) const
{
    const auto silent = silentUntilMs_.find(vm);
    return std::max(keeper.dryUntilMs, silent == silentUntilMs_.end() ? 0 : silent->second);
}

std::int64_t QuotaBorrowing::checkOpenAsks(TeamState &state, const std::vector<TeamKeeper> &keepers, std::int64_t nowMs)
{
    std::int64_t expected = 0;
    for (std::size_t i = 0; i < keepers.size(); ++i) {
        KeeperState &keeper = state.keepers[keepers[i].vm];
        if (keeper.openSequence == 0) {
            continue;
        }
        if (nowMs - keeper.askedAtMs < (i == 0 ? ownPatienceMs : otherPatienceMs)) {
            expected += keeper.askedTokens;
        } else {
            // A late grant still counts.
            keeper.openSequence = 0;
            silentUntilMs_[keepers[i].vm] = nowMs + silentPauseMs;
        }
    }
    return expected;
}

AddressedAsk QuotaBorrowing::ask(const std::string &team, TeamState &state, const std::string &vm, std::int64_t tokens, std::int64_t nowMs)
{
    sequence_ += 1;
    KeeperState &keeper = state.keepers[vm];
    keeper.openSequence = sequence_;
    keeper.askedAtMs = nowMs;
    keeper.askedTokens = tokens;
    openAsks_.emplace(sequence_, OpenAsk{team, vm, nowMs, tokens});
    return {vm, {team, tokens, sequence_}};
}

std::optional<AddressedAsk> QuotaBorrowing::nextAsk(const std::string &team, const std::vector<TeamKeeper> &keepers, std::int64_t nowMs)
{
    TeamState &state = teams_[team];
    dropExpired(state, nowMs);
    const std::int64_t wanted = wantedTokens(state, nowMs);
    const std::int64_t available = state.tokenCount + checkOpenAsks(state, keepers, nowMs);
    const std::int64_t missing = wanted - available;
    if (missing <= 0 || (state.waiting == 0 && 2 * available >= wanted)) {
        if (state.waiting == 0) {
            short_.erase(team);
        }
        return std::nullopt;
    }
    const auto isReady = [&](const TeamKeeper &keeper) {
        const KeeperState &known = state.keepers[keeper.vm];
        return known.openSequence == 0 && readyAtMs(known, keeper.vm) <= nowMs;
    };
    if (!keepers.empty() && isReady(keepers.front())) {
        return ask(team, state, keepers.front().vm, missing, nowMs);
    }
    if (!keepers.empty() && state.keepers[keepers.front().vm].openSequence != 0) {
        return std::nullopt;
    }
    // The own keeper is dry or silent. The rest is asked of the others by what they granted lately.
    constexpr double untriedWeight = 1;
    double weights = 0;
    const TeamKeeper *next = nullptr;
    for (const TeamKeeper &keeper : keepers) {
        if (isReady(keeper)) {
            weights += untriedWeight + state.keepers[keeper.vm].granted.at(nowMs);
            next = next == nullptr ? &keeper : next;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    const double share = (untriedWeight + state.keepers[next->vm].granted.at(nowMs)) / weights;
    return ask(team, state, next->vm, static_cast<std::int64_t>(std::ceil(static_cast<double>(missing) * share)), nowMs);
}

std::int64_t QuotaBorrowing::receive(const std::string &vm, const QuotaGrant &grant, std::int64_t nowMs)
{
    const auto found = openAsks_.find(grant.sequence);
    if (found == openAsks_.end() || found->second.vm != vm) {
        return 0;
    }
    const OpenAsk asked = found->second;
    openAsks_.erase(found);
    TeamState &state = teams_[asked.team];
    KeeperState &keeper = state.keepers[vm];
    if (keeper.openSequence == grant.sequence) {
        keeper.openSequence = 0;
    }
    const std::int64_t tokens = std::clamp<std::int64_t>(grant.tokens, 0, asked.tokens);
    keeper.dryUntilMs = tokens < asked.tokens ? nowMs + std::max<std::int64_t>(1, grant.nextInMs) : 0;
    keeper.grantedAtMs = grant.isKeeper ? nowMs : keeper.grantedAtMs;
    keeper.granted.add(static_cast<double>(tokens), nowMs);
    state.granted.add(static_cast<double>(tokens), nowMs);
    const std::int64_t validUntilMs = asked.sentAtMs + tokenLifeMs_;
    if (validUntilMs <= nowMs) {
        lapsed_ += static_cast<std::uint64_t>(tokens);
        return 0;
    }
    if (tokens > 0) {
        state.tokens[validUntilMs] += tokens;
        state.tokenCount += tokens;
    }
    return tokens;
}

void QuotaBorrowing::noteAnswering(const std::string &vm)
{
    silentUntilMs_.erase(vm);
}

std::optional<std::int64_t> QuotaBorrowing::nextChance(
    const std::string &team, const std::vector<TeamKeeper> &keepers, std::int64_t nowMs, std::int64_t untilMs) const
{
    const auto found = teams_.find(team);
    if (found == teams_.end()) {
        return std::nullopt;
    }
    const TeamState &state = found->second;
    std::optional<std::int64_t> earliest;
    bool allDry = true;
    const bool isAnyOpen = std::any_of(state.keepers.begin(), state.keepers.end(), [](const auto &entry) { return entry.second.openSequence != 0; });
    for (std::size_t i = 0; i < keepers.size(); ++i) {
        const auto known = state.keepers.find(keepers[i].vm);
        const KeeperState keeper = known == state.keepers.end() ? KeeperState{} : known->second;
        const bool isOpen = keeper.openSequence != 0;
        const std::int64_t at = isOpen ? keeper.askedAtMs + (i == 0 ? ownPatienceMs : otherPatienceMs) : readyAtMs(keeper, keepers[i].vm);
        allDry = allDry && !isOpen && at > nowMs;
        // A keeper that is ready and wasn't asked isn't needed unless an open ask fails.
        if (at > nowMs || !isAnyOpen) {
            earliest = earliest ? std::min(*earliest, at) : at;
        }
    }
    // An open ask may be answered before its patience ends, so a later end doesn't make the wait pointless.
    const bool isPointless = !earliest || (allDry && (*earliest >= untilMs || state.waiting > maxWaitingAtDryKeepers));
    if (isPointless) {
        return std::nullopt;
    }
    return std::clamp(*earliest, nowMs + 1, std::max(nowMs + 1, untilMs));
}

bool QuotaBorrowing::hasKeeper(const std::string &team, std::int64_t nowMs) const
{
    const auto found = teams_.find(team);
    return found != teams_.end() && std::any_of(found->second.keepers.begin(), found->second.keepers.end(), [&](const auto &entry) {
        return entry.second.grantedAtMs >= 0 && nowMs - entry.second.grantedAtMs < keeperMemoryMs;
    });
}

std::int64_t QuotaBorrowing::retryAfterMs(const std::string &team, double fairPerSecond, std::int64_t nowMs)
{
    if (!hasKeeper(team, nowMs)) {
        return withoutKeeperRetryMs;
    }
    TeamState &state = teams_[team];
    std::optional<std::int64_t> namedMs;
    for (const auto &[vm, keeper] : state.keepers) {
        if (keeper.grantedAtMs >= 0 && nowMs - keeper.grantedAtMs < keeperMemoryMs) {
            namedMs = namedMs ? std::min(*namedMs, keeper.dryUntilMs) : keeper.dryUntilMs;
        }
    }
    const double perSecond = std::max({fairPerSecond, state.granted.at(nowMs), msPerSecond / maxRetryMs});
    const std::int64_t spacedMs = state.promisedAtMs + static_cast<std::int64_t>(msPerSecond / perSecond);
    state.promisedAtMs = std::clamp(std::max(namedMs.value_or(nowMs), spacedMs), nowMs + minRetryMs, nowMs + maxRetryMs);
    return state.promisedAtMs - nowMs;
}

void QuotaBorrowing::clean(std::int64_t nowMs)
{
    std::erase_if(openAsks_, [&](const auto &entry) { return nowMs - entry.second.sentAtMs > tokenLifeMs_; });
    std::erase_if(silentUntilMs_, [&](const auto &entry) { return entry.second <= nowMs; });
    for (auto &[team, state] : teams_) {
        dropExpired(state, nowMs);
    }
    std::erase_if(teams_, [&](const auto &entry) {
        const bool isUnused = entry.second.waiting == 0 && nowMs - entry.second.usedAtMs > teamMemoryMs;
        if (isUnused) {
            short_.erase(entry.first);
        }
        return isUnused;
    });
}

std::uint64_t QuotaBorrowing::lapsedTokens() const
{
    return lapsed_;
}

} // namespace Wasabistair::Steering
