#pragma once

#include <steering/objects.h>

#include <compare>
#include <string>
#include <vector>

namespace Wasabistair::Operators {

enum class ChangeKind {
    Added,
    Removed,
    Changed,
};

/// One difference between two sets of objects.
struct ObjectChange {
    ChangeKind kind = ChangeKind::Changed;
    std::string object;
    std::string field;
    std::string before;
    std::string after;

    auto operator<=>(const ObjectChange &) const = default;
};

[[nodiscard]] std::string_view toString(ChangeKind kind);

/// Differences from @p before to @p after, ordered by object and field.
[[nodiscard]] std::vector<ObjectChange> diffObjects(const Steering::ObjectSet &before, const Steering::ObjectSet &after);

} // namespace Wasabistair::Operators
