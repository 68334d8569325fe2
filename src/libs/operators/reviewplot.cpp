#include "reviewplot.h"

#include <algorithm>
#include <cstdio>
#include <vector>

namespace Wasabistair::Operators {

namespace {

constexpr int width = 900;
constexpr int rowHeight = 26;
constexpr int labelWidth = 300;
constexpr int barWidth = 460;
constexpr int margin = 20;
constexpr double usPerMs = 1000;
constexpr double percent = 100;

struct Bar {
    std::string label;
    double value;
    std::string text;
};

std::string valueText(double value, const char *unit)
{
    char text[48];
    std::snprintf(text, sizeof(text), "%.1f %s", value, unit);
    return text;
}

class Plot
{
public:
    void addTitle(const std::string &title)
    {
        y_ += rowHeight;
        body_ += "<text x=\"" + std::to_string(margin) + "\" y=\"" + std::to_string(y_) + "\" font-weight=\"bold\">" + title + "</text>\n";
        y_ += rowHeight / 2;
    }

    void addBars(const std::vector<Bar> &bars, const std::string &color)
    {
        double highest = 0;
        for (const Bar &bar : bars) {
            highest = std::max(highest, bar.value);
        }
        for (const Bar &bar : bars) {
            const int length = highest > 0 ? static_cast<int>(bar.value / highest * barWidth) : 0;
            const std::string baseline = std::to_string(y_ + rowHeight * 2 / 3);
            body_ += "<text x=\"" + std::to_string(margin) + "\" y=\"" + baseline + "\">" + bar.label + "</text>\n";
            body_ += "<rect x=\"" + std::to_string(labelWidth) + "\" y=\"" + std::to_string(y_ + 4) + "\" width=\"" + std::to_string(length) + "\" height=\""
                + std::to_string(rowHeight - 8) + "\" fill=\"" + color + "\"/>\n";
            body_ += "<text x=\"" + std::to_string(labelWidth + length + 8) + "\" y=\"" + baseline + "\">" + bar.text + "</text>\n";
            y_ += rowHeight;
        }
    }

    std::string svg() const
    {
        return "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + std::to_string(width) + "\" height=\"" + std::to_string(y_ + margin)
            + "\" font-family=\"sans-serif\" font-size=\"13\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n" + body_ + "</svg>\n";
    }

private:
    int y_ = 0;
    std::string body_;
};

} // namespace

double meanHeadroomPercent(const PlaceFigures &figures)
{
    if (figures.usableUnits == 0) {
        return 0;
    }
    return percent * (1.0 - static_cast<double>(figures.usedUnits) / static_cast<double>(figures.usableUnits));
}

std::string reviewPlot(const Figures &figures, const std::string &month)
{
    std::vector<Bar> median;
    std::vector<Bar> tail;
    std::vector<Bar> headroom;
    std::vector<Bar> drains;
    for (const auto &[key, place] : figures.places) {
        const std::string label = key.first + " at " + key.second;
        const double p50 = static_cast<double>(place.latency.quantileUs(0.5)) / usPerMs;
        const double p99 = static_cast<double>(place.latency.quantileUs(0.99)) / usPerMs;
        median.push_back({label, p50, valueText(p50, "ms")});
        tail.push_back({label, p99, valueText(p99, "ms")});
        headroom.push_back({label, meanHeadroomPercent(place), valueText(meanHeadroomPercent(place), "%")});
    }
    for (const auto &[name, stop] : figures.stops) {
        const double seconds = static_cast<double>(std::max<std::int64_t>(0, stop.lastEnd - stop.start)) / usPerMs;
        drains.push_back({name, seconds, valueText(seconds, "s")});
    }
    Plot plot;
    plot.addTitle("Latency p50, " + month);
    plot.addBars(median, "#4c8c4a");
    plot.addTitle("Latency p99, " + month);
    plot.addBars(tail, "#b5651d");
    plot.addTitle("Mean headroom, " + month);
    plot.addBars(headroom, "#3b6ea5");
    plot.addTitle("Drain time, " + month);
    plot.addBars(drains, "#7a4c8c");
    return plot.svg();
}

} // namespace Wasabistair::Operators
