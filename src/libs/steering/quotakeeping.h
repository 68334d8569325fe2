#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Wasabistair::Steering {

/// A registered VM, as far as it matters for who keeps the limits of teams.
struct QuotaVm {
    std::string name;
    /// Region, or zone where there is one region. Each part of the fleet has one keeper for each team.
    std::string part;
    std::uint64_t incarnation = 0;
    /// Every VM that may keep anything in this part has this VM in its ranking.
    bool confirmed = false;
    /// The registration may be missing from a copy that the store comes back from.
    bool provisional = false;

    auto operator<=>(const QuotaVm &) const = default;
};

/// Decides which VM keeps a part of a team's limit, so that in each part at most one VM does at any time.
///
/// The keeper is the VM that ranks first for the team among those registered in the part, whether alive or not. Rankings of two VMs
/// can differ while one of them hasn't read of the other. So a VM that ranks first waits until those that may be keeping the team have
/// acknowledged that they have it in their rankings. A VM never leaves a ranking while the process lives.
///
/// The store may come back from an older copy that lacks a registration. So a VM keeps nothing as long as its registration is provisional, and
/// those that keep its teams go on until it isn't any more.
class QuotaKeeping
{
public:
    explicit QuotaKeeping(QuotaVm self);

    /// Adds the registered VMs of all parts. Returns the VMs of the own part that may ask for an acknowledgement from now on.
    std::vector<QuotaVm> addRegistered(const std::vector<QuotaVm> &vms);
    /// The VM @p vm has this VM, in this incarnation, in its ranking.
    void addAcknowledgement(const std::string &vm);

    /// Whether this VM may grant tokens of @p team.
    [[nodiscard]] bool mayKeep(const std::string &team) const;
    /// The VM that keeps @p team in @p part as far as this VM knows; null when no VM is registered there.
    [[nodiscard]] const QuotaVm *keeperOf(const std::string &part, const std::string &team) const;
    /// Whether @p vm is in the ranking of the own part.
    [[nodiscard]] bool ranks(const std::string &vm) const;
    /// VMs of the own part whose acknowledgement is missing; none when this VM is confirmed or hasn't read its own registration.
    [[nodiscard]] std::vector<std::string> unacknowledged() const;
    /// All VMs of the own part have acknowledged this one, and its registration doesn't say so yet.
    [[nodiscard]] bool isConfirmable() const;
    /// Whether this VM has read its registration, which wasn't provisional any more, so knows all VMs that registered before.
    [[nodiscard]] bool hasReadOwnRegistration() const;
    [[nodiscard]] const QuotaVm &self() const;
    [[nodiscard]] std::vector<std::string> parts() const;
    [[nodiscard]] std::size_t vmCount() const;

private:
    struct RankedVm {
        QuotaVm vm;
        std::uint64_t hash = 0;
        /// False for a VM that is still provisional and was learned of when this VM could keep teams already. It will read this VM's
        /// registration before it keeps anything, and ask for an acknowledgement.
        bool isRanked = false;
    };

    QuotaVm self_;
    std::uint64_t selfHash_;
    bool hasReadOwnRegistration_ = false;
    std::map<std::string, std::map<std::string, RankedVm>> parts_;
    std::set<std::string> acknowledgedBy_;
};

} // namespace Wasabistair::Steering
