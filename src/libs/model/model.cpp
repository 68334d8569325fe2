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

Scenario grownFleetScenario()
{
    Scenario scenario;
    scenario.vms = 68;
    scenario.upstreams = 126;
    scenario.slots = 5;
    scenario.queue = 30;
    scenario.requestsPerSecond = 1'524;
    scenario.serviceTimeMs = 624;
    scenario.objects = 12'000;
    scenario.objectiveMs = 400;
    scenario.deadlineMs = 2'500;
    return scenario;
}

std::vector<Policy> comparedPolicies()
{
    return {{"scattered", false, true}, {"by key, silent upstreams idle", true, false}, {"by key", true, true}};
}

double Result::value() const
{
    return requests == 0 ? 0 : (inTime + lateAnswerValue * late) / requests;
}

Result runModel(const Scenario &scenario, const Policy &policy, std::uint64_t seed)
{
    return Internal::Simulation(scenario, policy, seed).run();
}

} // namespace Wasabistair::Model
