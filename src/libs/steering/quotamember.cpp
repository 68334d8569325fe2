#include "quotamember.h"

#include <algorithm>
#include <utility>

namespace Wasabistair::Steering {

namespace {

// A VM that doesn't keep a team, or not yet, isn't asked again before this.
constexpr std::int64_t notKeeperPauseMs = 300;
constexpr std::int64_t acknowledgementIntervalMs = 500;
// Dead VMs don't acknowledge; after this many rounds they are asked less often.
constexpr int quickRounds = 20;
constexpr std::int64_t slowAcknowledgementIntervalMs = 4'000;

} // namespace

QuotaMember::QuotaMember(QuotaVm self, const QuotaTerms &terms)
    : terms_(terms)
    , keeping_(std::move(self))
    , borrowing_(terms.tokenLifeMs)
{}

QuotaMessage &QuotaMember::messageTo(const std::string &vm, QuotaOutbox &outbox) const
{
    QuotaMessage &message = outbox[vm];
    message.sender = keeping_.self().name;
    message.senderIncarnation = keeping_.self().incarnation;
    return message;
}

void QuotaMember::addRegistered(const std::vector<QuotaVm> &vms, std::int64_t nowMs, QuotaOutbox &outbox)
{
    const std::vector<QuotaVm> settled = keeping_.addRegistered(vms);
    keepersByTeam_.clear();
    // Teams are given up before the VMs that rank before this one are told so.
    updateKept(nowMs);
    for (const QuotaVm &vm : settled) {
        QuotaMessage &message = messageTo(vm.name, outbox);
        message.acknowledges = true;
        message.receiverIncarnation = vm.incarnation;
    }
}

void QuotaMember::setLimits(std::unordered_map<std::string, TeamLimit> limits, std::int64_t nowMs)
{
    limits_ = std::move(limits);
    limitBuckets(nowMs);
    updateKept(nowMs);
}

void QuotaMember::setTerms(const QuotaTerms &terms, std::int64_t nowMs)
{
    terms_ = terms;
    borrowing_.setTokenLife(terms.tokenLifeMs);
    limitBuckets(nowMs);
}

void QuotaMember::limitBuckets(std::int64_t nowMs)
{
    for (auto &[team, bucket] : kept_) {
        if (const auto limit = limits_.find(team); limit != limits_.end()) {
            limitBucket(bucket, limit->second, terms_, nowMs);
        }
    }
}

void QuotaMember::updateKept(std::int64_t nowMs)
{
    change_.ended += std::erase_if(kept_, [&](const auto &entry) { return !limits_.contains(entry.first) || !keeping_.mayKeep(entry.first); });
    for (const auto &[team, limit] : limits_) {
        if (!kept_.contains(team) && keeping_.mayKeep(team)) {
            QuotaBucket bucket;
            bucket.filledAtMs = nowMs;
            limitBucket(bucket, limit, terms_, nowMs);
            kept_.emplace(team, bucket);
            change_.begun += 1;
        }
    }
    change_.kept = kept_.size();
}

QuotaGrant QuotaMember::grant(const QuotaAsk &ask, std::int64_t nowMs)
{
    const auto found = kept_.find(ask.team);
    if (found == kept_.end()) {
        return {ask.sequence, 0, notKeeperPauseMs, false};
    }
    const std::int64_t tokens = takeTokens(found->second, ask.tokens, nowMs);
    counters_.tokensGranted += static_cast<std::uint64_t>(tokens);
    return {ask.sequence, tokens, tokens < ask.tokens ? promiseToken(found->second, nowMs) : 0, true};
}

const std::vector<TeamKeeper> &QuotaMember::keepersOf(const std::string &team) const
{
    const auto known = keepersByTeam_.find(team);
    if (known != keepersByTeam_.end()) {
        return known->second;
    }
    std::vector<TeamKeeper> keepers;
    for (const std::string &part : keeping_.parts()) {
        if (const QuotaVm *vm = keeping_.keeperOf(part, team)) {
            const bool isOwnPart = part == keeping_.self().part;
            keepers.insert(isOwnPart ? keepers.begin() : keepers.end(), TeamKeeper{part, vm->name});
        }
    }
    return keepersByTeam_.emplace(team, std::move(keepers)).first->second;
}

void QuotaMember::sendAsks(std::int64_t nowMs, QuotaOutbox &outbox)
{
    for (const std::string &team : borrowing_.shortTeams()) {
        const std::vector<TeamKeeper> &keepers = keepersOf(team);
        while (const auto next = borrowing_.nextAsk(team, keepers, nowMs)) {
            counters_.tokensAsked += static_cast<std::uint64_t>(next->ask.tokens);
            if (next->vm == keeping_.self().name) {
                borrowing_.receive(next->vm, grant(next->ask, nowMs), nowMs);
            } else {
                messageTo(next->vm, outbox).asks.push_back(next->ask);
            }
        }
    }
}

std::optional<std::int64_t> QuotaMember::begin(const std::string &team, std::int64_t nowMs, QuotaOutbox &outbox)
{
    borrowing_.countDemand(team, nowMs);
    const auto token = borrowing_.take(team, false, nowMs);
    if (token) {
        counters_.admitted += 1;
        if (borrowing_.isAnyTeamShort()) {
            sendAsks(nowMs, outbox);
        }
    }
    return token;
}

void QuotaMember::beginWait(const std::string &team)
{
    borrowing_.beginWait(team);
}

std::optional<std::int64_t> QuotaMember::lookAgain(const std::string &team, std::int64_t nowMs, QuotaOutbox &outbox)
{
    sendAsks(nowMs, outbox);
    const auto token = borrowing_.take(team, true, nowMs);
    counters_.admitted += token ? 1 : 0;
    return token;
}

std::optional<std::int64_t> QuotaMember::nextChance(const std::string &team, std::int64_t nowMs, std::int64_t untilMs) const
{
    return borrowing_.nextChance(team, keepersOf(team), nowMs, untilMs);
}

void QuotaMember::endWait(const std::string &team)
{
    borrowing_.endWait(team);
}

TeamAdmission QuotaMember::refuse(const std::string &team, const TeamLimit &limit, std::int64_t nowMs)
{
    (borrowing_.hasKeeper(team, nowMs) ? counters_.refusedByLimit : counters_.refusedWithoutKeeper) += 1;
    const double fairPerSecond = limit.requestsPerSecond / static_cast<double>(std::max<std::size_t>(1, keeping_.vmCount()));
    return {false, borrowing_.retryAfterMs(team, fairPerSecond, nowMs), 0};
}

void QuotaMember::giveBack(const std::string &team, std::int64_t validUntilMs, std::int64_t nowMs)
{
    borrowing_.giveBack(team, validUntilMs, nowMs);
}

bool QuotaMember::receive(const QuotaMessage &message, std::int64_t nowMs, QuotaOutbox &outbox)
{
    borrowing_.noteAnswering(message.sender);
    const bool isForThisIncarnation = message.receiverIncarnation == keeping_.self().incarnation;
    if (message.acknowledges && isForThisIncarnation) {
        keeping_.addAcknowledgement(message.sender);
        updateKept(nowMs);
    }
    std::int64_t tokens = 0;
    for (const QuotaGrant &grant : message.grants) {
        tokens += isForThisIncarnation ? borrowing_.receive(message.sender, grant, nowMs) : 0;
    }
    if (!message.asks.empty() || (message.wantsAcknowledgement && keeping_.ranks(message.sender))) {
        QuotaMessage &answer = messageTo(message.sender, outbox);
        answer.receiverIncarnation = message.senderIncarnation;
        answer.acknowledges = message.wantsAcknowledgement && keeping_.ranks(message.sender);
        for (const QuotaAsk &ask : message.asks) {
            answer.grants.push_back(grant(ask, nowMs));
        }
    }
    return tokens > 0;
}

void QuotaMember::tick(std::int64_t nowMs, QuotaOutbox &outbox)
{
    borrowing_.clean(nowMs);
    const std::int64_t interval = acknowledgementRounds_ < quickRounds ? acknowledgementIntervalMs : slowAcknowledgementIntervalMs;
    if (limits_.empty() || nowMs - acknowledgementsWantedAtMs_ < interval) {
        return;
    }
    acknowledgementsWantedAtMs_ = nowMs;
    acknowledgementRounds_ = std::min(quickRounds, acknowledgementRounds_ + 1);
    for (const std::string &vm : keeping_.unacknowledged()) {
        messageTo(vm, outbox).wantsAcknowledgement = true;
    }
}

bool QuotaMember::keeps(const std::string &team) const
{
    return kept_.contains(team);
}

bool QuotaMember::isConfirmable() const
{
    return keeping_.isConfirmable();
}

KeepingChange QuotaMember::takeKeepingChange()
{
    return std::exchange(change_, KeepingChange{0, 0, kept_.size()});
}

QuotaCounters QuotaMember::counters() const
{
    QuotaCounters counters = counters_;
    counters.tokensLapsed = borrowing_.lapsedTokens();
    return counters;
}

const QuotaKeeping &QuotaMember::keeping() const
{
    return keeping_;
}

} // namespace Wasabistair::Steering
