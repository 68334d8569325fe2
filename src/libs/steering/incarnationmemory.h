#pragma once

#include <base/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Wasabistair::Steering {

/// Id and start time of an upstream, which together identify an incarnation.
using Incarnation = std::pair<std::string, std::int64_t>;

/// What is known of incarnations of upstreams that have announced that they leave, or whose registration was removed. An older copy of the
/// store shows them as they were before. Bounded in time and number; not thread-safe.
class IncarnationMemory
{
public:
    /// How long an incarnation is remembered: an upstream that leaves has ended by then, and its restored registration has expired.
    static constexpr Base::MonotonicMs keptMs = 600'000;
    /// Bounds the memory; the oldest are dropped first.
    static constexpr std::size_t maxIncarnations = 4'096;

    void recordLeaving(const Incarnation &incarnation, Base::MonotonicMs now);
    void recordEnded(const Incarnation &incarnation, Base::MonotonicMs now);
    /// Another incarnation has registered under the id, so this one has ended for good.
    void recordReplaced(const Incarnation &incarnation, Base::MonotonicMs now);
    /// Number of the last write that is known of an incarnation that ended.
    void recordLastWrite(const Incarnation &incarnation, std::int64_t sequence, Base::MonotonicMs now);
    /// The incarnation has written its registration again, so it hasn't ended.
    void recordAlive(const Incarnation &incarnation);

    [[nodiscard]] bool isLeaving(const Incarnation &incarnation, Base::MonotonicMs now) const;
    [[nodiscard]] bool hasEnded(const Incarnation &incarnation, Base::MonotonicMs now) const;
    [[nodiscard]] bool wasReplaced(const Incarnation &incarnation, Base::MonotonicMs now) const;
    /// Whether an incarnation that ended has made a later write than that of number @p sequence.
    [[nodiscard]] bool hasLaterWrite(const Incarnation &incarnation, std::int64_t sequence, Base::MonotonicMs now) const;

private:
    struct Fate {
        bool leaving = false;
        bool ended = false;
        bool replaced = false;
        std::optional<std::int64_t> lastWrite;
        Base::MonotonicMs dropAt = 0;
    };

    /// What is known of an incarnation and not out of date; null when there is nothing.
    [[nodiscard]] const Fate *find(const Incarnation &incarnation, Base::MonotonicMs now) const;
    Fate &fateOf(const Incarnation &incarnation, Base::MonotonicMs now);

    std::map<Incarnation, Fate> fates_;
};

} // namespace Wasabistair::Steering
