#include "commands.h"

#include "commandsupport.h"

#include <model/model.h>

#include <iostream>

namespace Wasabistair::Tools {

using namespace Internal;

namespace {

constexpr int valueDigits = 3;

void addRows(Operators::Table &table, const std::string &fleet, Model::Scenario scenario, const std::vector<Model::Pattern> &patterns, std::uint64_t seed)
{
    for (const Model::Pattern pattern : patterns) {
        scenario.pattern = pattern;
        for (const Model::Policy &policy : Model::comparedPolicies()) {
            const Model::Result result = Model::runModel(scenario, policy, seed);
            table.addRow({fleet, std::string(Model::toString(pattern)), policy.name, decimal(result.value(), valueDigits),
                decimal(result.worstWindow, valueDigits), std::to_string(result.inTime), std::to_string(result.late), std::to_string(result.refused),
                std::to_string(result.failed), std::to_string(result.medianMs)});
        }
    }
}

} // namespace

ExitCode experimentCommand(const CommandOptions &options)
{
    std::vector<Model::Pattern> patterns;
    Model::Pattern chosen = Model::Pattern::Calm;
    if (options.pattern.empty()) {
        for (int i = 0; i < Model::patternCount; ++i) {
            patterns.push_back(static_cast<Model::Pattern>(i));
        }
    } else if (Model::parsePattern(options.pattern, chosen)) {
        patterns.push_back(chosen);
    } else {
        std::cerr << "wasabistairctl: --pattern must be calm, crowd, crash, slow or join\n";
        return ExitCode::BadUsage;
    }
    Operators::Table table({"fleet", "pattern", "policy", "value", "worst 2 s", "in time", "late", "refused", "failed", "p50 ms"});
    const auto seed = static_cast<std::uint64_t>(options.seed);
    addRows(table, "12 VMs", {}, patterns, seed);
    addRows(table, "68 VMs", Model::grownFleetScenario(), patterns, seed);
    print(table, options.output);
    return ExitCode::Ok;
}

} // namespace Wasabistair::Tools
