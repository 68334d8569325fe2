#include <doctest/doctest.h>

#include <operators/review.h>
#include <operators/reviewplot.h>

#include <nlohmann/json.hpp>

#include <rapidcheck.h>

#include <map>

using namespace Wasabistair;
using namespace Wasabistair::Operators;

namespace {

Figures figuresOf(std::uint64_t answered)
{
    Figures figures;
    PlaceFigures &place = figures.places[{"orders", "east"}];
    place.answered = answered;
    place.latency.buckets[10] = answered;
    place.usableUnits = answered * 10;
    place.usedUnits = answered;
    figures.stops["stop"] = {1'000, 1'000 + static_cast<std::int64_t>(answered), 1};
    return figures;
}

} // namespace

TEST_CASE("review_randomWritesRepeatsAndRetirements_agreesWithNaiveSum")
{
    CHECK(rc::check([] {
        ReviewObject review;
        std::map<VmIncarnation, std::uint64_t> naive; // last cumulative count of each incarnation
        std::map<VmIncarnation, bool> retired;
        const int events = *rc::gen::inRange(1, 60);
        for (int i = 0; i < events; ++i) {
            const VmIncarnation source{"vm" + std::to_string(*rc::gen::inRange(0, 3)), *rc::gen::inRange<std::uint64_t>(1, 4)};
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                if (naive.contains(source)) {
                    retired[source] = true;
                }
                review.retire(source, i);
                break;
            case 1:
                // A write repeated after its answer was lost.
                if (naive.contains(source)) {
                    review.put(source, figuresOf(naive[source]));
                }
                break;
            default:
                if (!retired[source]) {
                    naive[source] += *rc::gen::inRange<std::uint64_t>(0, 50);
                }
                review.put(source, figuresOf(naive[source]));
            }
            const auto reread = decodeReview(encodeReview(review));
            RC_ASSERT(reread.has_value());
            RC_ASSERT(*reread == review);
        }
        std::uint64_t sum = 0;
        for (const auto &[source, answered] : naive) {
            sum += answered;
        }
        const Figures total = review.total();
        const auto found = total.places.find({"orders", "east"});
        RC_ASSERT((found == total.places.end() ? 0 : found->second.answered) == sum);
        RC_ASSERT((found == total.places.end() ? 0 : found->second.latency.total()) == sum);
    }));
}

TEST_CASE("review_otherVersionOrGarbage_isNotRead")
{
    CHECK_FALSE(decodeReview("garbage").has_value());
    nlohmann::json json = nlohmann::json::parse(encodeReview(ReviewObject{}));
    json["version"] = reviewVersion + 1;
    CHECK_FALSE(decodeReview(json.dump()).has_value());
    nlohmann::json bucket = nlohmann::json::parse(encodeReview(ReviewObject{}));
    bucket["retired"]["places"] = {
        {{"service", "s"}, {"place", "p"}, {"latency", {9'999, 1}}, {"answered", 1}, {"refused", 0}, {"failed", 0}, {"usable", 0}, {"used", 0}, {"peak", 0}}};
    CHECK_FALSE(decodeReview(bucket.dump()).has_value());
}

TEST_CASE("review_drainTime_isTheLastEndOverAllVms")
{
    ReviewObject review;
    review.put({"a", 1}, figuresOf(500));
    review.put({"b", 1}, figuresOf(900));
    CHECK(review.total().stops["stop"].lastEnd == 1'900);
    review.retire({"b", 1}, 0);
    CHECK(review.total().stops["stop"].lastEnd == 1'900);
    CHECK(review.total().stops["stop"].inFlight == 1);
}

TEST_CASE("month_boundaries_areUtc")
{
    CHECK(monthOf(1'796'342'400'000 - 1) == "2026-12");
    CHECK(monthOf(1'798'761'600'000) == "2027-01");
    CHECK(monthOf(1'798'761'600'000 - 1) == "2026-12");
}

TEST_CASE("reviewPlot_figures_areAnSvg")
{
    const std::string svg = reviewPlot(figuresOf(100), "2026-12");
    CHECK(svg.starts_with("<svg"));
    CHECK(svg.find("orders at east") != std::string::npos);
    CHECK(svg.find("90.0 %") != std::string::npos);
}
