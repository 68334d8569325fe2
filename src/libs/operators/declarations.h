#pragma once

#include <steering/objects.h>
#include <steering/schema.h>

#include <compare>
#include <string>
#include <vector>

/// Library behind wasabistairctl: reads, checks and compares declarations, analyzes logs and builds review reports.
namespace Wasabistair::Operators {

/// A fault and its location in the declaration files; line 0 if it has no line.
struct LocatedFault {
    Steering::ValidationError fault;
    std::string file;
    int line = 0;

    auto operator<=>(const LocatedFault &) const = default;
};

/// The objects of a directory; if there are faults, they can't be published.
struct Declarations {
    Steering::ObjectSet objects;
    std::vector<LocatedFault> faults;
};

/// Reads every *.yaml and *.yml file of @p directory (one object per YAML document) and checks the
/// whole set together. Returns all faults, in the order of files and lines.
[[nodiscard]] Declarations loadDeclarations(const std::string &directory);

/// Formats as "file:line: Kind/name: field: fault (given: …): hint"; empty parts are left out.
[[nodiscard]] std::string toString(const LocatedFault &fault);

} // namespace Wasabistair::Operators
