#include "admissionshares.h"

#include <algorithm>
#include <cmath>

namespace Wasabistair::Steering {

namespace {

// Counts fall to 1/e in this time: long enough for a rare team's requests to be compared, short enough to end with the shortage.
constexpr double fadeMs = 4'000;
// Part of the average from which on a group counts as underserved. A little more than the quarter that is promised, so that the order helps
// it before it has fallen to that.
constexpr double underservedPart = 0.3;
// With fewer requests, the ratio says little.
constexpr double minAsked = 2;

} // namespace

AdmissionShares::Counts AdmissionShares::fadedTo(const Counts &counts, std::int64_t nowMs)
{
    const double factor = std::exp(-static_cast<double>(std::max<std::int64_t>(0, nowMs - counts.updatedAtMs)) / fadeMs);
    return {counts.asked * factor, counts.served * factor, std::max(nowMs, counts.updatedAtMs)};
}

void AdmissionShares::add(std::uint64_t groupHash, double asked, double served, std::int64_t nowMs)
{
    for (Counts *counts : {&groups_[groupHash % maxGroups], &total_}) {
        *counts = fadedTo(*counts, nowMs);
        counts->asked += asked;
        counts->served += served;
    }
}

void AdmissionShares::countAsked(std::uint64_t groupHash, std::int64_t nowMs)
{
    add(groupHash, 1, 0, nowMs);
}

void AdmissionShares::countServed(std::uint64_t groupHash, std::int64_t nowMs)
{
    add(groupHash, 0, 1, nowMs);
}

bool AdmissionShares::isUnderserved(std::uint64_t groupHash, std::int64_t nowMs) const
{
    const Counts group = fadedTo(groups_[groupHash % maxGroups], nowMs);
    return group.asked >= minAsked && group.served * total_.asked < underservedPart * total_.served * group.asked;
}

} // namespace Wasabistair::Steering
