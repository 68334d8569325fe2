#pragma once

#include "admissionorder.h"
#include "admissionshares.h"
#include "returnschedule.h"

#include <array>
#include <atomic>
#include <compare>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>

/// Decides which requests of a service get room at its upstreams first when there isn't enough for all.
namespace Wasabistair::Steering {

/// Where requests are admitted in the order of what their delay costs, instead of in no order.
enum class AdmissionMode {
    /// Where the configuration has teams, or an upstream of the service reports its machine's pace.
    Auto,
    On,
    Off,
};

/// Parses "auto", "on" or "off"; returns false and leaves @p mode unchanged for other text.
[[nodiscard]] bool parseAdmissionMode(std::string_view text, AdmissionMode &mode);

/// How a request got past, or failed at, the admission to a service.
enum class AdmissionReason {
    /// Did not wait, or admission is off.
    None,
    /// Waited until an upstream had room.
    Admitted,
    /// Too many requests waited whose refusal costs more.
    Displaced,
    /// It can't be answered before its deadline any more.
    Unservable,
    /// No room came free while waiting served the caller.
    TimedOut,
    /// Its caller left, or the VM stops.
    Withdrawn,
};

constexpr std::size_t admissionReasonCount = 6;
[[nodiscard]] std::string_view toString(AdmissionReason reason);

/// Whom a request belongs to, for the comparison of what each gets.
struct AdmissionGroups {
    /// 0 without a team.
    std::uint64_t teamHash = 0;
    std::uint64_t routeHash = 0;

    auto operator<=>(const AdmissionGroups &) const = default;
};

/// Admission of this VM's requests to one service. Thread-safe; time comes in as an argument, in monotonic ms.
class ServiceAdmission
{
public:
    using Id = AdmissionOrder::Id;

    ServiceAdmission();

    /// Counts a request that asks for an upstream.
    void countAsked(const AdmissionGroups &groups, std::int64_t nowMs);
    /// Counts a request that was sent to an upstream for the first time.
    void countServed(const AdmissionGroups &groups, std::int64_t nowMs);
    /// Learns from an answer after @p tookMs of an upstream that had @p loadPerSlot when the request was sent to it.
    void recordAnswer(std::uint64_t routeHash, KeyState key, std::int64_t tookMs, double loadPerSlot);
    /// Called at the end of a request at an upstream: its room may have come free.
    void onRoomFreed(std::int64_t nowMs);

    /// Load per slot of an upstream up to which the request may be sent there. It leaves room to others: to more urgent ones that were short of
    /// room, or were asked to return about now, and to those that wait before it if it doesn't wait itself.
    [[nodiscard]] double loadLimit(const AdmissionNeed &need, bool waits, std::int64_t nowMs) const;
    /// Completes @p need of a request that arrives with what was learned about the service.
    [[nodiscard]] AdmissionNeed needOf(AdmissionNeed need, const AdmissionGroups &groups, KeyState key, std::int64_t nowMs);

    struct Entry {
        /// Set if the request waits now; otherwise the reason says why not.
        std::optional<Id> id;
        AdmissionReason reason = AdmissionReason::None;

        auto operator<=>(const Entry &) const = default;
    };
    /// Puts a request that found no room into the queue. Waiting must end with leave().
    [[nodiscard]] Entry enter(const AdmissionNeed &need, std::int64_t nowMs);
    enum class Wait {
        /// The request is to look for room now, and to call again if it finds none.
        Turn,
        /// Call again, unless the request is withdrawn.
        Continue,
        Displaced,
        TimedOut,
    };
    /// Waits for the request's turn, for @p maxWaitMs at most.
    [[nodiscard]] Wait awaitTurn(Id id, std::int64_t nowMs, std::int64_t maxWaitMs);
    /// Takes the request out of the queue, because it found room or gave up; if it was its turn, the next one gets it.
    void leave(Id id);
    [[nodiscard]] std::size_t waiting() const;

    /// Time after which the caller of a refused request should return, in ms.
    [[nodiscard]] std::int64_t promiseReturn(const ReturnQuery &query, std::int64_t nowMs);

    /// Waiting requests look for room at least this often, in ms, since room that other VMs leave free isn't announced.
    static constexpr std::int64_t turnIntervalMs = 15;
    /// Requests that wait for one service at most. Each holds a thread and its body.
    static constexpr std::size_t maxWaiting = 256;

private:
    /// Priorities that are told apart; lower ones count as the last.
    static constexpr std::size_t priorityCount = 8;

    struct Waiter {
        std::condition_variable changed;
        std::optional<Wait> wake;
    };

    void wake(Id id, Wait reason);
    void startPass(std::int64_t nowMs);
    void giveNextTurn();
    /// Lets the first request in the order start passes and end the waits of others.
    void appointDriver();
    void noteShortage(int priority, std::int64_t nowMs);
    [[nodiscard]] bool isMoreUrgentShort(int priority, std::int64_t nowMs) const;

    mutable std::mutex mutex_;
    AdmissionOrder order_{maxWaiting};
    AdmissionShares teams_;
    AdmissionShares routes_;
    WorkEstimates estimates_;
    ReturnSchedule returns_;
    std::unordered_map<Id, std::shared_ptr<Waiter>> waiters_;
    /// Request whose turn it is.
    std::optional<Id> turn_;
    /// Request whose thread starts passes; it wakes more often than the others.
    std::optional<Id> driver_;
    /// Whether room came free during the present pass.
    bool roomCameFree_ = false;
    std::int64_t passStartedAtMs_ = 0;
    /// When a request of each priority last waited or was refused.
    std::array<std::int64_t, priorityCount> shortAtMs_;
    std::atomic<std::size_t> waiting_{0};
};

} // namespace Wasabistair::Steering
