#pragma once

#include <array>
#include <compare>
#include <cstddef>

/// What one service's answers teach about the time that its work takes, and what a VM expects of the next answer.
namespace Wasabistair::Steering {

/// Why a VM expects an upstream to know an affinity key, weakest reason first.
enum class KeyKnowledge {
    Unknown,
    /// The placement of keys puts the key there, for this VM's callers or for others.
    ByDesign,
    /// An answer for the key came from there lately.
    UsedLately,
};
constexpr std::size_t keyKnowledgeCount = 3;

/// How far an upstream is from this VM.
enum class Distance { OwnZone, OwnRegion, OtherRegion };
constexpr std::size_t distanceCount = 3;

/// What is known about the duration of a service's work. Durations are in ms at the usual pace.
struct WorkFigures {
    /// Time until the answer from an upstream that knows the key, and from one that doesn't.
    double knownMs = 0;
    double unknownMs = 0;
    /// Part of the answers that came as fast as from an upstream that knows the key, for each KeyKnowledge.
    std::array<double, keyKnowledgeCount> hitRates = {0, 0, 1};
    /// Shortest time until an answer lately, for each Distance; 0 before the first.
    std::array<double, distanceCount> shortestMs{};
    int answers = 0;

    auto operator<=>(const WorkFigures &) const = default;
};

/// One answer to a request that didn't have to wait at the upstream.
struct AnswerSample {
    double tookMs = 0;
    int pacePercent = 100;
    KeyKnowledge knowledge = KeyKnowledge::Unknown;
    Distance distance = Distance::OwnZone;
    bool operator==(const AnswerSample &) const = default;
};

/// The figures after one more answer. Answers during a noisy spell teach nothing: the pace may have changed while the work ran.
[[nodiscard]] WorkFigures afterAnswer(WorkFigures figures, const AnswerSample &sample);

/// Whether work takes noticeably longer at an upstream that doesn't know the key.
[[nodiscard]] bool doKeysMatter(const WorkFigures &figures);

/// Expected duration of work in ms at the usual pace; @p fallbackMs before the first answer.
[[nodiscard]] double expectedWorkMs(const WorkFigures &figures, KeyKnowledge knowledge, double fallbackMs);

/// Expected time on the way there and back, in ms, beyond that to an upstream of the own zone.
[[nodiscard]] double expectedNetworkMs(const WorkFigures &figures, Distance distance);

/// One upstream that may get a request.
struct FinishFigures {
    double networkMs = 0;
    /// Duration of the request's own work at the usual pace, and of that of the requests before it.
    double workMs = 0;
    double meanWorkMs = 0;
    double pacePercent = 100;
    /// Running and waiting requests.
    double load = 0;
    int slots = 1;

    auto operator<=>(const FinishFigures &) const = default;
};

/// Expected time in ms until the answer, if the request is sent now.
[[nodiscard]] double expectedFinishMs(const FinishFigures &figures);

} // namespace Wasabistair::Steering
