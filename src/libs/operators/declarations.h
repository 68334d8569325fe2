#pragma once

#include <steering/objects.h>
#include <steering/schema.h>

#include <compare>
#include <string>
#include <vector>

/// What operators use: declarations in files, their check, differences, reports.
namespace Wasabistair::Operators {

/// A fault with the place in the operators' files that it comes from; line 0 when there is none.
struct LocatedFault {
    Steering::Fault fault;
    std::string file;
    int line = 0;

    auto operator<=>(const LocatedFault &) const = default;
};

/// All objects of a directory, or the faults that keep them from being published.
struct Declarations {
    Steering::ObjectSet objects;
    std::vector<LocatedFault> faults;
};

/// Reads every *.yaml and *.yml file of @p directory (one object per YAML document) and checks the
/// whole set together. Reports every fault, not just the first.
[[nodiscard]] Declarations loadDeclarations(const std::string &directory);

/// "file:line: Kind/name: field: fault (given: …; hint)".
[[nodiscard]] std::string toString(const LocatedFault &fault);

} // namespace Wasabistair::Operators
