#include "commands.h"

#include "commandsupport.h"

#include <operators/review.h>
#include <operators/reviewplot.h>
#include <operators/reviewreader.h>
#include <steering/schema.h>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace Wasabistair::Tools {

using namespace Internal;
using Operators::Table;
using Platform::ObjectStore;

namespace {

Table reviewTable(const Operators::Figures &figures)
{
    Table table({"service", "place", "answered", "refused", "failed", "p50 ms", "p99 ms", "mean headroom %", "lowest headroom %"});
    constexpr double usPerMsDecimal = 1'000;
    constexpr double tenth = 10;
    constexpr double percent = 100;
    for (const auto &[key, place] : figures.places) {
        table.addRow({key.first, key.second.empty() ? "(none)" : key.second, std::to_string(place.answered), std::to_string(place.refused),
            std::to_string(place.failed), decimal(static_cast<double>(place.latency.quantileUs(0.5)) / usPerMsDecimal),
            decimal(static_cast<double>(place.latency.quantileUs(0.99)) / usPerMsDecimal), decimal(Operators::meanHeadroomPercent(place)),
            decimal(percent - static_cast<double>(place.peakPermille) / tenth)});
    }
    return table;
}

std::string fieldTypeName(Steering::FieldType type)
{
    switch (type) {
    case Steering::FieldType::Text:
        return "text";
    case Steering::FieldType::Name:
        return "name";
    case Steering::FieldType::Reference:
        return "reference";
    case Steering::FieldType::Integer:
        return "whole number";
    case Steering::FieldType::Time:
        return "time";
    case Steering::FieldType::Boolean:
        return "true or false";
    case Steering::FieldType::TextList:
        return "list of texts";
    case Steering::FieldType::ObjectList:
        return "list";
    }
    return "";
}

void printFields(const std::vector<Steering::FieldSpec> &fields, const std::string &prefix)
{
    for (const Steering::FieldSpec &field : fields) {
        const std::string type = fieldTypeName(field.type) + (field.referenceKind.empty() ? "" : " to " + field.referenceKind);
        const bool bounded = field.type == Steering::FieldType::Integer;
        const std::string bounds = bounded ? std::to_string(field.minimum) + " to " + std::to_string(field.maximum) : "";
        const std::string fallback = field.required ? "required" : (field.defaultValue == INT64_MAX ? "none" : "`" + field.defaultValue.dump() + "`");
        std::cout << "| `" << prefix << field.name << "` | " << type << " | " << field.unit << " | " << bounds << " | " << fallback << " | " << field.help
                  << " |\n";
        printFields(field.fields, prefix + field.name + "[].");
    }
}

} // namespace

ExitCode reportCommand(ObjectStore &store, const CommandOptions &options)
{
    const std::string month = options.month.empty() ? Operators::monthOf(nowMs()) : options.month;
    const auto figures = Platform::tryStore([&] { return Operators::readMonthFigures(store, month); });
    if (!figures) {
        return platformFailed(*figures.error);
    }
    print(reviewTable(*figures.value), options.output);
    Table drains({"planned stop", "start", "drain time s", "in flight"});
    constexpr double msPerSecond = 1'000;
    for (const auto &[name, stop] : figures.value->stops) {
        const double seconds = static_cast<double>(std::max<std::int64_t>(0, stop.lastEnd - stop.start)) / msPerSecond;
        drains.addRow({name, timeText(stop.start), decimal(seconds), std::to_string(stop.inFlight)});
    }
    print(drains, options.output);
    if (!options.plotFile.empty()) {
        std::ofstream out(options.plotFile);
        out << Operators::reviewPlot(*figures.value, month);
        if (!out.good()) {
            std::cerr << "wasabistairctl: cannot write " << options.plotFile << "\n";
            return ExitCode::BadUsage;
        }
    }
    return ExitCode::Ok;
}

ExitCode schemaCommand()
{
    std::cout << "# Objects\n\nMade by `wasabistairctl schema`. One object is one YAML document with its `kind`.\n";
    std::cout << "Times are given as `2026-12-04T10:00:00Z`; names are up to 63 of a-z, 0-9 and -.\n";
    for (const Steering::KindSpec &kind : Steering::kinds()) {
        std::cout << "\n## " << kind.kind << "\n\n" << kind.help << "\n\n";
        std::cout << "| field | type | unit | bounds | default | meaning |\n|---|---|---|---|---|---|\n";
        printFields(kind.fields, "");
    }
    return ExitCode::Ok;
}

} // namespace Wasabistair::Tools
