#include "placementwork.h"

#include <algorithm>
#include <cmath>

namespace Wasabistair::Steering {

namespace {

// Averages over about 30 answers, which is about one second of a VM's requests.
constexpr double newestWeight = 0.03;
// The first answers count as in a plain mean, so that the figures don't stay at the first one.
constexpr int plainMeanAnswers = 10;
// Above this pace the duration says more about the machine's neighbours than about the work.
constexpr int quietPacePercent = 120;
// An answer that took longer than this multiple of the usual is one of the few long ones and would move the mean too far.
constexpr double longestMultiple = 1.4;
// Two groups of durations that differ by less are the halves of one group.
constexpr double minGroupRatio = 1.7;
// The shortest time rises by this part with each answer, so that it follows a network that became slower.
constexpr double shortestRise = 0.002;
// The network takes up at most this long in ms; a larger difference has another cause.
constexpr double maxNetworkMs = 150;

double moved(double mean, double value, double weight)
{
    return mean + weight * (value - mean);
}

} // namespace

WorkFigures afterAnswer(WorkFigures figures, const AnswerSample &sample)
{
    if (sample.pacePercent > quietPacePercent || sample.pacePercent <= 0) {
        return figures;
    }
    const double ms = sample.tookMs * 100 / sample.pacePercent;
    double &shortest = figures.shortestMs.at(static_cast<std::size_t>(sample.distance));
    shortest = shortest <= 0 ? ms : std::min(ms, shortest * (1 + shortestRise));
    if (figures.answers == 0) {
        figures.knownMs = ms;
        figures.unknownMs = ms;
        figures.answers = 1;
        return figures;
    }
    // Two means, each of the answers nearer to it by ratio.
    const bool hit = ms < std::sqrt(figures.knownMs * figures.unknownMs);
    const double weight = std::max(newestWeight, 1.0 / (1 + std::min(figures.answers, plainMeanAnswers)) / 2);
    double &mean = hit ? figures.knownMs : figures.unknownMs;
    mean = moved(mean, std::min(ms, longestMultiple * figures.unknownMs), weight);
    double &hitRate = figures.hitRates.at(static_cast<std::size_t>(sample.knowledge));
    if (doKeysMatter(figures)) {
        hitRate = moved(hitRate, hit ? 1 : 0, newestWeight);
    }
    figures.answers = std::min(figures.answers + 1, plainMeanAnswers);
    return figures;
}

bool doKeysMatter(const WorkFigures &figures)
{
    return figures.unknownMs > minGroupRatio * figures.knownMs;
}

double expectedWorkMs(const WorkFigures &figures, KeyKnowledge knowledge, double fallbackMs)
{
    if (figures.answers == 0) {
        return fallbackMs;
    }
    const double hitRate = figures.hitRates.at(static_cast<std::size_t>(knowledge));
    return hitRate * figures.knownMs + (1 - hitRate) * figures.unknownMs;
}

double expectedNetworkMs(const WorkFigures &figures, Distance distance)
{
    const double near = figures.shortestMs.front();
    const double there = figures.shortestMs.at(static_cast<std::size_t>(distance));
    return near <= 0 || there <= 0 ? 0 : std::clamp(there - near, 0.0, maxNetworkMs);
}

double expectedFinishMs(const FinishFigures &figures)
{
    const double before = std::max(0.0, figures.load - figures.slots + 1);
    return figures.networkMs + figures.pacePercent / 100 * (figures.workMs + before * figures.meanWorkMs / std::max(1, figures.slots));
}

} // namespace Wasabistair::Steering
