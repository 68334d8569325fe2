#include "review.h"

#include <base/json.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>

namespace Wasabistair::Operators {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t msPerSecond = 1000;

/// Writes only the nonempty buckets, as [index, count, …].
Json histogramToJson(const Base::HistogramCounts &counts)
{
    Json json = Json::array();
    for (int i = 0; i < Base::HistogramCounts::bucketCount; ++i) {
        if (counts.buckets[i] > 0) {
            json.push_back(i);
            json.push_back(counts.buckets[i]);
        }
    }
    return json;
}

Base::HistogramCounts histogramFromJson(const Json &json)
{
    Base::HistogramCounts counts;
    for (std::size_t i = 0; i + 1 < json.size(); i += 2) {
        counts.buckets.at(json.at(i).get<std::size_t>()) = json.at(i + 1).get<std::uint64_t>();
    }
    return counts;
}

Figures readFigures(const Json &json)
{
    Figures figures;
    for (const Json &entry : json.at("places")) {
        PlaceFigures place;
        place.latency = histogramFromJson(entry.at("latency"));
        place.answered = entry.at("answered").get<std::uint64_t>();
        place.refused = entry.at("refused").get<std::uint64_t>();
        place.failed = entry.at("failed").get<std::uint64_t>();
        place.usableUnits = entry.at("usable").get<std::uint64_t>();
        place.usedUnits = entry.at("used").get<std::uint64_t>();
        place.peakPermille = entry.at("peak").get<std::uint64_t>();
        figures.places[{entry.at("service").get<std::string>(), entry.at("place").get<std::string>()}] = std::move(place);
    }
    for (const auto &[name, entry] : json.at("stops").items()) {
        figures.stops[name] = {entry.at("start").get<std::int64_t>(), entry.at("lastEnd").get<std::int64_t>(), entry.at("inFlight").get<std::int64_t>()};
    }
    figures.asOf = json.value("asOf", std::int64_t{0});
    return figures;
}

} // namespace

PlaceFigures PlaceFigures::mergedWith(const PlaceFigures &other) const
{
    return {latency.mergedWith(other.latency), answered + other.answered, refused + other.refused, failed + other.failed, usableUnits + other.usableUnits,
        usedUnits + other.usedUnits, std::max(peakPermille, other.peakPermille)};
}

StopFigures StopFigures::mergedWith(const StopFigures &other) const
{
    return {start, std::max(lastEnd, other.lastEnd), inFlight + other.inFlight};
}

Figures Figures::mergedWith(const Figures &other) const
{
    Figures sum = *this;
    sum.asOf = std::max(asOf, other.asOf);
    for (const auto &[key, figures] : other.places) {
        const auto [entry, added] = sum.places.try_emplace(key, figures);
        if (!added) {
            entry->second = entry->second.mergedWith(figures);
        }
    }
    for (const auto &[name, figures] : other.stops) {
        const auto [entry, added] = sum.stops.try_emplace(name, figures);
        if (!added) {
            entry->second = entry->second.mergedWith(figures);
        }
    }
    return sum;
}

void ReviewObject::put(const VmIncarnation &source, const Figures &figures)
{
    if (retiredSources.contains(source)) {
        return;
    }
    // A collector that was paused or disconnected may still write an old report.
    const auto [entry, added] = live.try_emplace(source, figures);
    if (!added && figures.asOf >= entry->second.asOf) {
        entry->second = figures;
    }
}

void ReviewObject::retire(const VmIncarnation &source, std::int64_t wall)
{
    const auto found = live.find(source);
    if (found == live.end()) {
        return;
    }
    Figures figures = found->second;
    for (auto &[name, stop] : figures.stops) {
        // Requests in flight end with their VM.
        stop.inFlight = 0;
    }
    retired = retired.mergedWith(figures);
    retiredSources[source] = wall;
    live.erase(found);
}

Figures ReviewObject::total() const
{
    Figures sum = retired;
    for (const auto &[source, figures] : live) {
        sum = sum.mergedWith(figures);
    }
    return sum;
}

Json figuresToJson(const Figures &figures)
{
    Json places = Json::array();
    for (const auto &[key, place] : figures.places) {
        places.push_back({{"service", key.first}, {"place", key.second}, {"latency", histogramToJson(place.latency)}, {"answered", place.answered},
            {"refused", place.refused}, {"failed", place.failed}, {"usable", place.usableUnits}, {"used", place.usedUnits}, {"peak", place.peakPermille}});
    }
    Json stops = Json::object();
    for (const auto &[name, stop] : figures.stops) {
        stops[name] = {{"start", stop.start}, {"lastEnd", stop.lastEnd}, {"inFlight", stop.inFlight}};
    }
    return {{"places", places}, {"stops", stops}, {"asOf", figures.asOf}};
}

std::optional<Figures> figuresFromJson(const Json &json)
{
    try {
        return readFigures(json);
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string encodeReview(const ReviewObject &review)
{
    Json live = Json::array();
    for (const auto &[source, figures] : review.live) {
        live.push_back({{"vm", source.vm}, {"incarnation", source.incarnation}, {"figures", figuresToJson(figures)}});
    }
    Json retired = Json::array();
    for (const auto &[source, wall] : review.retiredSources) {
        retired.push_back({source.vm, source.incarnation, wall});
    }
    return Json{{"version", reviewVersion}, {"live", live}, {"retired", figuresToJson(review.retired)}, {"retiredSources", retired}}.dump();
}

std::optional<ReviewObject> decodeReview(const std::string &bytes)
{
    try {
        const Json json = Base::readJson(bytes).value;
        if (json.at("version").get<int>() != reviewVersion) {
            return std::nullopt;
        }
        ReviewObject review;
        for (const Json &entry : json.at("live")) {
            review.live[{entry.at("vm").get<std::string>(), entry.at("incarnation").get<std::uint64_t>()}] = readFigures(entry.at("figures"));
        }
        review.retired = readFigures(json.at("retired"));
        for (const Json &entry : json.at("retiredSources")) {
            review.retiredSources[{entry.at(0).get<std::string>(), entry.at(1).get<std::uint64_t>()}] = entry.at(2).get<std::int64_t>();
        }
        return review;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::string monthOf(std::int64_t wallMs)
{
    const std::time_t seconds = wallMs / msPerSecond;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[8];
    std::strftime(text, sizeof(text), "%Y-%m", &parts);
    return text;
}

std::string reviewPrefix(const std::string &month)
{
    return "wasabistair/review/" + month + "/";
}

std::string reviewKey(const std::string &month, const std::string &group)
{
    return reviewPrefix(month) + group;
}

} // namespace Wasabistair::Operators
