#pragma once

#include "workestimate.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

/// Order in which requests that found no room at upstreams wait for it.
namespace Wasabistair::Steering {

/// What a caller needs of one request. Times are monotonic, in ms.
struct AdmissionNeed {
    /// 0 is the most urgent.
    int priority = 0;
    /// Whether the request's team or route gets far less than the others of the service.
    bool underserved = false;
    /// Whether its caller was refused before and returns when it was asked to.
    bool promised = false;
    std::int64_t arrivedAtMs = 0;
    /// Latency objective, in ms; 0: none.
    std::int64_t objectiveMs = 0;
    std::int64_t deadlineAtMs = 0;
    ExpectedWork work;

    auto operator<=>(const AdmissionNeed &) const = default;
};

/// Place of a waiting request in the order, and how long it waits. Times are monotonic, in ms.
struct AdmissionClaim {
    int priority = 0;
    bool underserved = false;
    bool promised = false;
    /// Sent by then, the request is expected to meet its objective.
    std::int64_t objectiveStartMs = 0;
    /// Sent by then, the request is expected to meet its deadline.
    std::int64_t deadlineStartMs = 0;
    /// End of its wait.
    std::int64_t waitUntilMs = 0;

    auto operator<=>(const AdmissionClaim &) const = default;
};

/// The claim of a request at @p nowMs; nothing if it can't be answered before its deadline any more.
[[nodiscard]] std::optional<AdmissionClaim> claimOf(const AdmissionNeed &need, std::int64_t nowMs);

/// Load per slot of an upstream up to which its queue leaves the request enough time. The rest of the time is for the wait here, where requests
/// are ordered.
[[nodiscard]] double queueableLoad(const AdmissionNeed &need);

/// Waiting requests, ordered by what a delay or a refusal costs their callers: first those of teams and routes that are underserved, then by
/// priority; of one priority those that can still meet their objective, the one with the least slack first, and then those that can only meet
/// their deadline. Each operation takes O(log n). Not thread-safe.
class AdmissionOrder
{
public:
    using Id = std::uint64_t;

    explicit AdmissionOrder(std::size_t capacity);

    struct Insertion {
        /// Nothing if the order is full of requests whose refusal costs more.
        std::optional<Id> id;
        /// Request that was removed to make room.
        std::optional<Id> displaced;

        auto operator<=>(const Insertion &) const = default;
    };
    /// Adds a request that has just found no room; its first turn comes in the next pass.
    [[nodiscard]] Insertion insert(const AdmissionClaim &claim, std::int64_t nowMs);
    void erase(Id id);
    /// Moves requests that miss their objective behind those that can meet it, and removes those whose wait has ended; returns the latter.
    [[nodiscard]] std::vector<Id> advance(std::int64_t nowMs);

    /// Starts a pass, in which requests try for room one after the other, in order.
    void beginPass();
    /// The next request to try; nothing at the end of the pass. A request's key decides which upstreams it uses, so that those behind one
    /// without room may find some; the pass ends after maxTurnsWithoutRoom requests.
    [[nodiscard]] std::optional<Id> nextTurn();
    /// Whether a waiting request comes before one with @p claim.
    [[nodiscard]] bool hasBefore(const AdmissionClaim &claim, std::int64_t nowMs) const;
    [[nodiscard]] bool contains(Id id) const;
    [[nodiscard]] std::optional<Id> first() const;
    [[nodiscard]] std::size_t size() const;

    static constexpr std::size_t maxTurnsWithoutRoom = 6;

private:
    enum class Standing {
        Promised,
        InTime,
        Late,
    };
    /// Not underserved, priority, standing, time by which it must be sent, id.
    using Rank = std::tuple<bool, int, Standing, std::int64_t, Id>;

    struct Entry {
        AdmissionClaim claim;
        Rank rank;
        std::int64_t nextChangeMs = 0;
        std::uint64_t triedInPass = 0;
    };

    [[nodiscard]] static Rank rankOf(const AdmissionClaim &claim, std::int64_t nowMs, Id id);
    [[nodiscard]] static std::int64_t nextChangeOf(const AdmissionClaim &claim, std::int64_t nowMs);

    const std::size_t capacity_;
    Id lastId_ = 0;
    std::uint64_t pass_ = 0;
    std::unordered_map<Id, Entry> entries_;
    std::set<Rank> ranks_;
    /// When requests become late or their wait ends.
    std::set<std::pair<std::int64_t, Id>> changes_;
};

} // namespace Wasabistair::Steering
