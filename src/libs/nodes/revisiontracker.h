#pragma once

#include "storeera.h"

#include <base/clock.h>

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Elects the VMs that read the store's latest state, and detects that the data of the others is stale.
///
/// Every VM watches the store with calls that may return stale data and cost a tenth of those that return the latest state.
/// Only the elected readers of each availability zone make the latter. Heartbeats carry the revisions of the latest changes
/// that their sender has read; a VM that has not read them within lagToleranceMs requests the latest state once. A VM that
/// receives no heartbeat from a reader reads the latest state itself.
namespace Wasabistair::Nodes {

/// Kinds of changes with an upper bound on the time until they take effect (propagation bound).
enum class StoreChangeKind {
    Configuration,
    Upstreams,
    Evacuations,
};

constexpr std::size_t changeKindCount = 3;

/// Name of the kind in metrics.
[[nodiscard]] std::string_view toString(StoreChangeKind kind);

/// Store revision of the latest change of each kind.
using ChangeRevisions = std::array<std::uint64_t, changeKindCount>;

/// In zones of up to this many VMs all of them read: such fleets are small, and their propagation bounds short (2 s and more).
constexpr std::size_t maxVmsAllReading = 2;
/// Readers of a larger zone. Until a reader times out, VMs of other zones supply the revisions.
constexpr std::size_t readersPerZone = 1;
/// How long a change that is known from a heartbeat may be missing from the possibly stale watch, in ms. The watch usually
/// brings it within some 20 ms; the shortest propagation bound is 2 s.
constexpr std::int64_t lagToleranceMs = 300;
/// A VM without a heartbeat from a reader for this long reads the latest state itself, in ms. Two heartbeats, one per second,
/// and their delay.
constexpr std::int64_t readerTimeoutMs = 2'200;
/// Time after the start, in ms, before an elected VM reads. It covers two heartbeats, which tell the VM its peers. No propagation
/// bound applies earlier: the shortest stability window is 3 s.
constexpr std::int64_t electionGraceMs = 2'500;
/// Time after the start, in ms, before a VM that is not elected may read. By then it has received heartbeats from the readers,
/// even if all VMs of the zone started together.
constexpr std::int64_t startGraceMs = 4'000;

/// Whether @p vm is one of the elected readers of @p zone. Candidates are the VMs in @p alive and @p vm itself, which need not
/// be in it. VMs with the same set of candidates elect the same readers without exchanging messages.
[[nodiscard]] bool isElectedReader(const std::string &zone, const std::string &vm, const std::vector<std::string> &alive);

/// Era of the store and the revisions in it.
struct EraRevisions {
    StoreEra era = 0;
    ChangeRevisions revisions{};

    auto operator<=>(const EraRevisions &) const = default;
};

/// The store revisions that this VM has read or received in heartbeats, and its role as a reader. Revisions are kept for one era; they
/// start anew when the store's answers state a later one. Thread-safe.
class RevisionTracker
{
public:
    explicit RevisionTracker(Base::MonotonicMs startedAt);

    /// Era of the store as this VM knows it.
    [[nodiscard]] StoreEraTracker &eras();
    [[nodiscard]] const StoreEraTracker &eras() const;

    /// Records the revisions of a heartbeat that was sent at @p sentAt. @p fromReader: the sender is in this zone, reads the store's latest
    /// state, and the store is reachable for it. @p era: the sender's; revisions of another era than this VM's are not taken, and an older sender doesn't
    /// count as a reader.
    void receive(const ChangeRevisions &revisions, bool fromReader, Base::MonotonicMs sentAt, StoreEra era = 0);
    /// Records a change that this VM has read itself in @p era.
    void recordRead(StoreChangeKind kind, std::uint64_t revision, StoreEra era = 0);
    /// Records that the store's latest state is of revision @p asOf: later revisions received in heartbeats are wrong and dropped.
    void lowerLatestTo(StoreChangeKind kind, std::uint64_t asOf, StoreEra era = 0);
    /// Records that this VM is in contact with the store and reads its latest state.
    void recordContact(Base::MonotonicMs now);
    /// When this VM last had each change of the configuration that a reader or the store knew; nothing when it never had.
    [[nodiscard]] std::optional<Base::MonotonicMs> configurationConfirmedAt() const;
    /// Whether a change of that kind is known that this VM has not read.
    [[nodiscard]] bool isBehind(StoreChangeKind kind) const;
    /// Revisions that this VM has read itself. Only these are sent to others, so that a wrong one is not passed on.
    [[nodiscard]] ChangeRevisions ownRevisions() const;
    [[nodiscard]] EraRevisions ownState() const;
    /// Revision of the latest known change of that kind, whether read or received.
    [[nodiscard]] std::uint64_t latestRevision(StoreChangeKind kind) const;

    /// Sets whether this VM is an elected reader of its zone.
    void setElected(bool elected);
    [[nodiscard]] bool isElected() const;
    /// Whether this VM must read the store's latest state: it is elected, or receives no heartbeats from a reader.
    [[nodiscard]] bool mustReadLatest(Base::MonotonicMs now) const;
    /// Sets whether this VM does read the latest state, and the store is reachable.
    void setReadsLatest(bool readsLatest);
    [[nodiscard]] bool readsLatest() const;

private:
    /// Requires that mutex_ is locked.
    void confirmConfiguration(Base::MonotonicMs at);
    /// Forgets the revisions if the store has entered a later era. The mutex must be locked.
    void enterConfirmedEra() const;

    mutable std::mutex mutex_;
    StoreEraTracker eras_;
    const Base::MonotonicMs startedAt_;
    bool elected_ = false;
    bool readsLatest_ = false;
    /// Era of the revisions below.
    mutable StoreEra era_ = 0;
    mutable ChangeRevisions ownRevisions_{};
    std::optional<Base::MonotonicMs> lastReaderHeartbeatAt_;
    mutable ChangeRevisions latestRevisions_{};
    std::optional<Base::MonotonicMs> configurationConfirmedAt_;
};

/// Detects that a copy has been stale for at least lagToleranceMs.
class LagMonitor
{
public:
    /// @p copyRevision: revision up to which the copy is complete; @p latestRevision: that of the latest known change.
    [[nodiscard]] bool exceedsTolerance(std::uint64_t copyRevision, std::uint64_t latestRevision, Base::MonotonicMs now);

private:
    std::optional<Base::MonotonicMs> staleSince_;
};

} // namespace Wasabistair::Nodes
