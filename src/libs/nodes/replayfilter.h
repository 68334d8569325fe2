#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Wasabistair::Nodes {

/// Recognizes changes that a list already shows.
///
/// The pages of a list can show states of different revisions. The watch goes on from the oldest one, and so returns changes again that later
/// pages show. An earlier version of an object must not replace a later one meanwhile. Not thread-safe.
class ReplayFilter
{
public:
    /// A list was applied. @p asOf: revision of its oldest page; @p revisions: that of each object listed.
    void beginList(std::uint64_t asOf, const std::map<std::string, std::uint64_t> &revisions);
    /// Whether the list showed a later version of the object @p name than that of @p revision.
    [[nodiscard]] bool isReplayed(const std::string &name, std::uint64_t revision) const;
    /// The watch has returned all changes up to @p position.
    void advanceTo(std::uint64_t position);

private:
    /// Objects that the list showed in a version after its oldest page.
    std::map<std::string, std::uint64_t> ahead_;
    std::uint64_t newest_ = 0;
};

} // namespace Wasabistair::Nodes
