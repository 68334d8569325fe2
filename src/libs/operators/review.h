#pragma once

#include <base/histogram.h>

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Wasabistair::Operators {

/// Version of the definitions in docs/review.md; figures of different versions are not merged.
constexpr int reviewVersion = 1;

/// Cumulative figures of one service at one place in one month, of one incarnation of a VM or merged over several.
struct PlaceFigures {
    Base::HistogramCounts latency;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    /// Sums over headroom samples, taken once a second: usable units, and units in use.
    std::uint64_t usableUnits = 0;
    std::uint64_t usedUnits = 0;
    /// Highest share of usable units in use in any sample, in 1/1000.
    std::uint64_t peakPermille = 0;

    bool operator==(const PlaceFigures &) const = default;
    [[nodiscard]] PlaceFigures mergedWith(const PlaceFigures &other) const;
};

/// Progress of one planned stop as one VM observed it, or merged over several; times in ms since the epoch.
struct StopFigures {
    std::int64_t start = 0;
    std::int64_t lastEnd = 0;
    std::int64_t inFlight = 0;

    bool operator==(const StopFigures &) const = default;
    [[nodiscard]] StopFigures mergedWith(const StopFigures &other) const;
};

/// Figures of places, by (service, place), and of planned stops, by name.
struct Figures {
    std::map<std::pair<std::string, std::string>, PlaceFigures> places;
    std::map<std::string, StopFigures> stops;
    /// Time at which the figures were taken, in ms since the epoch; increases with each report of one incarnation.
    std::int64_t asOf = 0;

    bool operator==(const Figures &) const = default;
    [[nodiscard]] Figures mergedWith(const Figures &other) const;
};

/// One incarnation of a VM.
struct VmIncarnation {
    std::string vm;
    std::uint64_t incarnation = 0;

    auto operator<=>(const VmIncarnation &) const = default;
};

/// Stored figures of one group of a zone's VMs in one month. A report overwrites the figures of its incarnation, so that
/// writes are idempotent and can be repeated after a lost answer. The figures of retired incarnations are added to one sum;
/// their names are kept so that none is added twice.
struct ReviewObject {
    std::map<VmIncarnation, Figures> live;
    Figures retired;
    std::map<VmIncarnation, std::int64_t> retiredSources;

    bool operator==(const ReviewObject &) const = default;

    /// Replaces the figures of @p source, unless the stored ones are newer or @p source was retired.
    void put(const VmIncarnation &source, const Figures &figures);
    /// Adds the figures of @p source to the retired sum; @p wall, in ms since the epoch, is stored with its name.
    void retire(const VmIncarnation &source, std::int64_t wall);
    /// Sum over all live and retired incarnations of the group.
    [[nodiscard]] Figures total() const;
};

[[nodiscard]] nlohmann::json figuresToJson(const Figures &figures);
[[nodiscard]] std::optional<Figures> figuresFromJson(const nlohmann::json &json);
[[nodiscard]] std::string encodeReview(const ReviewObject &review);
[[nodiscard]] std::optional<ReviewObject> decodeReview(const std::string &bytes);

/// "YYYY-MM" in UTC.
[[nodiscard]] std::string monthOf(std::int64_t wallMs);
[[nodiscard]] std::string reviewPrefix(const std::string &month);
[[nodiscard]] std::string reviewKey(const std::string &month, const std::string &group);

} // namespace Wasabistair::Operators
