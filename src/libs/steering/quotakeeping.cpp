#include "quotakeeping.h"

#include "hash.h"

#include <algorithm>
#include <utility>

namespace Wasabistair::Steering {

namespace {

/// Place of a VM in the ranking for a team: the largest is first.
std::uint64_t weightOf(std::uint64_t vmHash, std::uint64_t teamHash)
{
    return mixedHash(vmHash ^ mixedHash(teamHash));
}

} // namespace

QuotaKeeping::QuotaKeeping(QuotaVm self)
    : self_(std::move(self))
    , selfHash_(hashOf(self_.name))
{
    self_.confirmed = false;
}

std::vector<QuotaVm> QuotaKeeping::addRegistered(const std::vector<QuotaVm> &vms)
{
    std::vector<QuotaVm> settled;
    const bool couldKeep = hasReadOwnRegistration_;
    for (const QuotaVm &vm : vms) {
        if (vm.name == self_.name && vm.incarnation == self_.incarnation && !vm.provisional) {
            // A list that shows this incarnation isn't older than its registration, so it shows all VMs whose registrations no copy lacks.
            hasReadOwnRegistration_ = true;
            self_.confirmed = self_.confirmed || vm.confirmed;
        }
        auto &ranking = parts_[vm.part];
        const auto [entry, isNew] = ranking.try_emplace(vm.name, RankedVm{vm, hashOf(vm.name)});
        RankedVm &ranked = entry->second;
        const bool wasProvisional = isNew || ranked.vm.provisional;
        const bool confirmed = ranked.vm.confirmed || vm.confirmed;
        // An older copy may show a VM as it was before.
        const bool provisional = wasProvisional && vm.provisional;
        ranked.vm = vm;
        ranked.vm.confirmed = confirmed;
        ranked.vm.provisional = provisional;
        ranked.isRanked = ranked.isRanked || !couldKeep || !provisional;
        if (wasProvisional && !provisional && vm.part == self_.part && vm.name != self_.name) {
            settled.push_back(vm);
        }
    }
    return settled;
}

void QuotaKeeping::addAcknowledgement(const std::string &vm)
{
    acknowledgedBy_.insert(vm);
}

bool QuotaKeeping::mayKeep(const std::string &team) const
{
    const auto part = parts_.find(self_.part);
    if (!hasReadOwnRegistration_ || part == parts_.end()) {
        return false;
    }
    const std::uint64_t teamHash = hashOf(team);
    const auto ownPlace = std::pair(weightOf(selfHash_, teamHash), self_.name);
    std::pair<std::uint64_t, std::string> firstConfirmed{0, ""};
    for (const auto &[name, ranked] : part->second) {
        if (name == self_.name || !ranked.isRanked) {
            continue;
        }
        const std::uint64_t weight = weightOf(ranked.hash, teamHash);
        if (weight > ownPlace.first || (weight == ownPlace.first && name > self_.name)) {
            return false;
        }
        if (ranked.vm.confirmed && (weight > firstConfirmed.first || (weight == firstConfirmed.first && name > firstConfirmed.second))) {
            firstConfirmed = {weight, name};
        }
    }
    if (self_.confirmed) {
        return true;
    }
    // VMs that rank after a confirmed one know that, and don't keep this team.
    return std::all_of(part->second.begin(), part->second.end(), [&](const auto &entry) {
        const auto place = std::pair(weightOf(entry.second.hash, teamHash), entry.first);
        return entry.first == self_.name || !entry.second.isRanked || place < firstConfirmed || acknowledgedBy_.contains(entry.first);
    });
}

const QuotaVm *QuotaKeeping::keeperOf(const std::string &part, const std::string &team) const
{
    const auto found = parts_.find(part);
    if (found == parts_.end()) {
        return nullptr;
    }
    const std::uint64_t teamHash = hashOf(team);
    const RankedVm *first = nullptr;
    std::uint64_t firstWeight = 0;
    for (const auto &[name, ranked] : found->second) {
        // In order of names, so of two VMs of one weight the later name wins, as in mayKeep(). A provisional VM keeps nothing.
        const std::uint64_t weight = weightOf(ranked.hash, teamHash);
        const bool isBetter = first != nullptr && first->vm.provisional != ranked.vm.provisional ? first->vm.provisional : weight >= firstWeight;
        if (first == nullptr || isBetter) {
            first = &ranked;
            firstWeight = weight;
        }
    }
    return first == nullptr ? nullptr : &first->vm;
}

bool QuotaKeeping::ranks(const std::string &vm) const
{
    const auto part = parts_.find(self_.part);
    if (part == parts_.end()) {
        return false;
    }
    const auto found = part->second.find(vm);
    return found != part->second.end() && found->second.isRanked;
}

std::vector<std::string> QuotaKeeping::unacknowledged() const
{
    std::vector<std::string> names;
    const auto part = parts_.find(self_.part);
    if (part == parts_.end() || self_.confirmed || !hasReadOwnRegistration_) {
        return names;
    }
    for (const auto &[name, ranked] : part->second) {
        if (name != self_.name && ranked.isRanked && !acknowledgedBy_.contains(name)) {
            names.push_back(name);
        }
    }
    return names;
}

bool QuotaKeeping::isConfirmable() const
{
    return hasReadOwnRegistration_ && !self_.confirmed && unacknowledged().empty();
}

bool QuotaKeeping::hasReadOwnRegistration() const
{
    return hasReadOwnRegistration_;
}

const QuotaVm &QuotaKeeping::self() const
{
    return self_;
}

std::vector<std::string> QuotaKeeping::parts() const
{
    std::vector<std::string> names;
    for (const auto &[name, ranking] : parts_) {
        names.push_back(name);
    }
    return names;
}

std::size_t QuotaKeeping::vmCount() const
{
    std::size_t count = 0;
    for (const auto &[name, ranking] : parts_) {
        count += ranking.size();
    }
    return count;
}

} // namespace Wasabistair::Steering
