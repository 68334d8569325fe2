#pragma once

#include "quotaborrowing.h"
#include "quotabucket.h"
#include "quotakeeping.h"
#include "teamlimiter.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Wasabistair::Steering {

/// What one VM tells another about the limits of teams.
struct QuotaMessage {
    std::string sender;
    std::uint64_t senderIncarnation = 0;
    /// Incarnation of the receiver that the grants and the acknowledgement are for; 0 when there are none.
    std::uint64_t receiverIncarnation = 0;
    /// The sender wants to know whether the receiver has it in its ranking.
    bool wantsAcknowledgement = false;
    /// The sender has the receiver in its ranking.
    bool acknowledges = false;
    std::vector<QuotaAsk> asks;
    std::vector<QuotaGrant> grants;

    bool operator==(const QuotaMessage &) const = default;
};

/// Messages by the VM that they go to.
using QuotaOutbox = std::map<std::string, QuotaMessage>;

struct QuotaCounters {
    std::uint64_t admitted = 0;
    std::uint64_t refusedByLimit = 0;
    std::uint64_t refusedWithoutKeeper = 0;
    std::uint64_t tokensAsked = 0;
    std::uint64_t tokensGranted = 0;
    std::uint64_t tokensLapsed = 0;

    auto operator<=>(const QuotaCounters &) const = default;
};

/// Teams that this VM began and ceased to keep.
struct KeepingChange {
    std::size_t begun = 0;
    std::size_t ended = 0;
    std::size_t kept = 0;

    auto operator<=>(const KeepingChange &) const = default;
};

/// One VM's share in keeping the limits of teams over the whole fleet: as keeper of some teams and as borrower of tokens. Does no I/O;
/// time comes in as an argument, and messages for other VMs are put into an outbox. Not thread-safe.
class QuotaMember
{
public:
    QuotaMember(QuotaVm self, const QuotaTerms &terms);

    /// Adds the registered VMs of all parts.
    void addRegistered(const std::vector<QuotaVm> &vms, std::int64_t nowMs, QuotaOutbox &outbox);
    /// Sets how limits are divided, and how long tokens last that are granted from now on.
    void setTerms(const QuotaTerms &terms, std::int64_t nowMs);
    /// Replaces the limits of teams. Teams without a limit must be left out.
    void setLimits(std::unordered_map<std::string, TeamLimit> limits, std::int64_t nowMs);

    /// A request of @p team arrived; returns until when its token may be used if there is one now.
    [[nodiscard]] std::optional<std::int64_t> begin(const std::string &team, std::int64_t nowMs, QuotaOutbox &outbox);
    /// For a request that found no token: begins to wait, looks again, ends to wait.
    void beginWait(const std::string &team);
    [[nodiscard]] std::optional<std::int64_t> lookAgain(const std::string &team, std::int64_t nowMs, QuotaOutbox &outbox);
    /// When to look again at the latest; nothing when the request needn't wait up to @p untilMs.
    [[nodiscard]] std::optional<std::int64_t> nextChance(const std::string &team, std::int64_t nowMs, std::int64_t untilMs) const;
    void endWait(const std::string &team);
    /// Refuses the request of @p limit's team.
    [[nodiscard]] TeamAdmission refuse(const std::string &team, const TeamLimit &limit, std::int64_t nowMs);
    void giveBack(const std::string &team, std::int64_t validUntilMs, std::int64_t nowMs);

    /// Applies a message and puts the answers into @p outbox. Returns whether it brought tokens.
    bool receive(const QuotaMessage &message, std::int64_t nowMs, QuotaOutbox &outbox);
    /// To be called some times a second: asks for missing acknowledgements, drops what expired.
    void tick(std::int64_t nowMs, QuotaOutbox &outbox);

    /// Whether this VM grants tokens of @p team.
    [[nodiscard]] bool keeps(const std::string &team) const;
    /// Whether this VM's registration should say that it is confirmed.
    [[nodiscard]] bool isConfirmable() const;
    [[nodiscard]] KeepingChange takeKeepingChange();
    [[nodiscard]] QuotaCounters counters() const;
    [[nodiscard]] const QuotaKeeping &keeping() const;

private:
    /// Begins and ends to keep teams as the ranking says. A team that is kept anew begins with an empty bucket.
    void updateKept(std::int64_t nowMs);
    void limitBuckets(std::int64_t nowMs);
    [[nodiscard]] QuotaGrant grant(const QuotaAsk &ask, std::int64_t nowMs);
    void sendAsks(std::int64_t nowMs, QuotaOutbox &outbox);
    [[nodiscard]] const std::vector<TeamKeeper> &keepersOf(const std::string &team) const;
    QuotaMessage &messageTo(const std::string &vm, QuotaOutbox &outbox) const;

    QuotaTerms terms_;
    QuotaKeeping keeping_;
    QuotaBorrowing borrowing_;
    std::unordered_map<std::string, TeamLimit> limits_;
    std::unordered_map<std::string, QuotaBucket> kept_;
    /// Keepers of the teams that were asked for; emptied when the registered VMs change.
    mutable std::unordered_map<std::string, std::vector<TeamKeeper>> keepersByTeam_;
    KeepingChange change_;
    QuotaCounters counters_;
    std::int64_t acknowledgementsWantedAtMs_ = 0;
    int acknowledgementRounds_ = 0;
};

} // namespace Wasabistair::Steering
