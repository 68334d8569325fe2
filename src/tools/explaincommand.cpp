#include "commands.h"

#include "commandsupport.h"

#include <operators/clockoffsets.h>
#include <operators/logstory.h>

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

// Faulty lines that are named one by one; the rest is counted.
constexpr std::size_t namedFaults = 5;

/// False, with a line on standard error, when a file can't be read.
bool readAll(const std::vector<std::string> &files, LogSet &set)
{
    if (files.empty()) {
        Operators::readLog(std::cin, "standard-input", set);
        return true;
    }
    for (const std::string &file : files) {
        std::ifstream input(file);
        if (!input) {
            std::cerr << "wasabistairctl: " << file << " can't be read\n";
            return false;
        }
        Operators::readLog(input, std::filesystem::path(file).stem().string(), set);
    }
    return true;
}

void nameFaults(const LogSet &set)
{
    for (std::size_t i = 0; i < std::min(namedFaults, set.faults.size()); ++i) {
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

void printStory(const Operators::RequestStory &story, OutputFormat format, const json &context)
{
    if (format == OutputFormat::Json) {
        json result = context;
        result.update({{"request", story.request}, {"cause", std::string(toString(story.cause))}, {"explanation", std::string(describe(story.cause))},
            {"ends", jsonOf(story.ends)}, {"related", jsonOf(story.related)}});
        std::cout << result.dump(2) << "\n";
        return;
    }
    std::cout << "request " << story.request << ": " << toString(story.cause) << "\n" << describe(story.cause) << "\n";
    if (!story.ends.empty()) {
        std::cout << "end:\n";
        printLines(story.ends);
        std::cout << "its VM at that time:\n";
        printLines(story.related);
    }
}

json contextOf(const LogSet &set, const std::map<std::string, std::int64_t> &offsets)
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
    if (!readAll(files, set)) {
        return ExitCode::NotFound;
    }
    nameFaults(set);
    const auto offsets = Operators::clockOffsets(set.lines);
    const std::vector<LogLine> lines = Operators::inOrder(set.lines, offsets);
    if (!options.request.empty()) {
        const Operators::RequestStory story = Operators::explainRequest(lines, options.request);
        printStory(story, options.output, contextOf(set, offsets));
        return story.ends.empty() ? ExitCode::NotFound : ExitCode::Ok;
    }
    const auto found = Operators::timelineOf(lines, {chosen->first, chosen->second}, static_cast<std::size_t>(options.limit));
    if (options.output == OutputFormat::Json) {
        json result = contextOf(set, offsets);
        result["lines"] = jsonOf(found);
        std::cout << result.dump(2) << "\n";
    } else {
        printLines(found);
    }
    return found.empty() ? ExitCode::NotFound : ExitCode::Ok;
}

} // namespace Wasabistair::Tools
