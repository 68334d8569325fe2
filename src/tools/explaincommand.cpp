#include "commands.h"

#include "commandsupport.h"

#include <operators/clockoffsets.h>
#include <operators/requestexplanation.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace Wasabistair::Tools {

using namespace Internal;
using nlohmann::json;
using Operators::LogLine;
using Operators::LogSet;
using Operators::SubjectKind;

namespace {

// Unreadable lines beyond this number are only counted.
constexpr std::size_t maxPrintedFaults = 5;

/// Returns false and prints an error if a file can't be read.
bool readLogFiles(const std::vector<std::string> &files, LogSet &set)
{
    if (files.empty()) {
        Operators::readLog(std::cin, "standard-input", set);
        return true;
    }
    for (const std::string &file : files) {
        std::ifstream input(file);
        if (!input) {
            std::cerr << "wasabistairctl: " << file << " cannot be read\n";
            return false;
        }
        Operators::readLog(input, std::filesystem::path(file).stem().string(), set);
    }
    return true;
}

void printLogFaults(const LogSet &set)
{
    for (std::size_t i = 0; i < std::min(maxPrintedFaults, set.faults.size()); ++i) {
        std::cerr << "wasabistairctl: " << set.faults[i].source << ", line " << set.faults[i].line << ": " << Operators::toString(set.faults[i].fault) << "\n";
    }
    if (!set.faults.empty()) {
        std::cerr << "wasabistairctl: " << set.faults.size() << " of " << set.faults.size() + set.lines.size() << " lines were not understood\n";
    }
}

std::string textOf(const LogLine &line)
{
    std::string text = timeText(line.wallMs) + "  " + line.vm + "  " + line.event;
    for (const auto &[key, value] : line.fields) {
        text.append("  ").append(key).append("=").append(value.empty() ? "-" : value);
    }
    return text;
}

json jsonOf(const LogLine &line)
{
    return {{"time", timeText(line.wallMs)}, {"vm", line.vm}, {"level", line.level}, {"event", line.event}, {"fields", line.fields}};
}

json jsonOf(const std::vector<LogLine> &lines)
{
    json result = json::array();
    for (const LogLine &line : lines) {
        result.push_back(jsonOf(line));
    }
    return result;
}

void printLines(const std::vector<LogLine> &lines)
{
    for (const LogLine &line : lines) {
        std::cout << "  " << textOf(line) << "\n";
    }
}

void printExplanation(const Operators::RequestExplanation &explanation, OutputFormat format, const json &summary)
{
    if (format == OutputFormat::Json) {
        json result = summary;
        result.update({{"request", explanation.request}, {"cause", std::string(toString(explanation.cause))},
            {"explanation", std::string(describe(explanation.cause))}, {"ends", jsonOf(explanation.ends)}, {"related", jsonOf(explanation.related)}});
        std::cout << result.dump(2) << "\n";
        return;
    }
    std::cout << "request " << explanation.request << ": " << toString(explanation.cause) << "\n" << describe(explanation.cause) << "\n";
    if (!explanation.ends.empty()) {
        std::cout << "end:\n";
        printLines(explanation.ends);
        std::cout << "events of its VM at that time:\n";
        printLines(explanation.related);
    }
}

json logSummary(const LogSet &set, const std::map<std::string, std::int64_t> &offsets)
{
    return {{"linesRead", set.lines.size()}, {"linesNotUnderstood", set.faults.size()}, {"clockAheadMs", offsets}};
}

} // namespace

ExitCode explainCommand(const std::vector<std::string> &files, const CommandOptions &options)
{
    const std::vector<std::pair<SubjectKind, std::string>> subjects
        = {{SubjectKind::Upstream, options.upstream}, {SubjectKind::Vm, options.vm}, {SubjectKind::Manifest, options.manifest}};
    const auto chosen = std::find_if(subjects.begin(), subjects.end(), [](const auto &subject) { return !subject.second.empty(); });
    if (options.request.empty() && chosen == subjects.end()) {
        std::cerr << "wasabistairctl: explain needs --request, --upstream, --vm or --manifest\n";
        return ExitCode::BadUsage;
    }
    LogSet set;
    if (!readLogFiles(files, set)) {
        return ExitCode::NotFound;
    }
    printLogFaults(set);
    const auto offsets = Operators::clockOffsets(set.lines);
    const std::vector<LogLine> lines = Operators::sortedByCorrectedTime(set.lines, offsets);
    if (!options.request.empty()) {
        const Operators::RequestExplanation explanation = Operators::explainRequest(lines, options.request);
        printExplanation(explanation, options.output, logSummary(set, offsets));
        return explanation.ends.empty() ? ExitCode::NotFound : ExitCode::Ok;
    }
    const auto found = Operators::timelineOf(lines, {chosen->first, chosen->second}, static_cast<std::size_t>(options.limit));
    if (options.output == OutputFormat::Json) {
        json result = logSummary(set, offsets);
        result["lines"] = jsonOf(found);
        std::cout << result.dump(2) << "\n";
    } else {
        printLines(found);
    }
    return found.empty() ? ExitCode::NotFound : ExitCode::Ok;
}

} // namespace Wasabistair::Tools
