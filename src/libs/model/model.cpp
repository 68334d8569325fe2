#include "model.h"

#include "simulation.h"

#include <algorithm>
#include <array>

namespace Wasabistair::Model {

namespace {

constexpr std::array<std::string_view, patternCount> patternNames = {"calm", "crowd", "crash", "slow", "join"};

} // namespace

std::string_view toString(Pattern pattern)
{
    return patternNames.at(static_cast<std::size_t>(pattern));
}

bool parsePattern(std::string_view text, Pattern &pattern)
{
    const auto found = std::find(patternNames.begin(), patternNames.end(), text);
    if (found == patternNames.end()) {
        return false;
    }
    pattern = static_cast<Pattern>(found - patternNames.begin());
    return true;
}

Plan grownPlan()
{
    Plan plan;
    plan.vms = 68;
    plan.upstreams = 126;
    plan.slots = 5;
    plan.queue = 30;
    plan.requestsPerSecond = 1'524;
    plan.workMs = 624;
    plan.objects = 12'000;
    plan.objectiveMs = 400;
    plan.deadlineMs = 2'500;
    return plan;
}

std::vector<Policy> knownPolicies()
{
    return {{"scattered", false, true}, {"by key, silent upstreams idle", true, false}, {"by key", true, true}};
}

double Result::value() const
{
    return requests == 0 ? 0 : (inTime + lateValue * late) / requests;
}

Result runModel(const Plan &plan, const Policy &policy, std::uint64_t seed)
{
    return Internal::Simulation(plan, policy, seed).run();
}

} // namespace Wasabistair::Model
