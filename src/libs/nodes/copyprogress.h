#pragma once

#include "revisiontracker.h"
#include "storeera.h"

#include <cstdint>
#include <mutex>

namespace Wasabistair::Nodes {

/// Next call of a VM that keeps a copy of one kind of the store's objects.
enum class ReadStep {
    /// List whose answer may be stale.
    List,
    ListLatest,
    /// Wait for changes after position().
    Watch,
    /// Ask for the changes after position() without waiting, from the latest state.
    CatchUp,
};

/// Decides how a copy of one kind of objects is kept up to date, from the store's answers and the revisions that peers report.
///
/// Two revisions describe a copy. Its position is where the next watch continues. Its content is the latest change that it provably
/// holds: a list proves all changes up to its revision, a watch only those whose events it returned. A reported change is compared
/// with the content, so that a watch that passed a change without its event is noticed. Both belong to one era of the store; a copy of an
/// older era is listed anew, whatever its revisions are. Thread-safe.
class CopyProgress
{
public:
    /// @p startsWithLatest: the first list must return the latest state.
    explicit CopyProgress(bool startsWithLatest);

    /// @p latest is the revision of the latest change that is known to have happened.
    [[nodiscard]] ReadStep nextStep(std::uint64_t latest) const;
    /// Returns false when the list is older than the copy and must not be applied; the next list then returns the latest state. A list of
    /// another era than the copy's is never older.
    bool applyList(std::uint64_t asOf, bool isLatest, StoreEra era = 0);
    /// Records that the store is in era @p newest: a copy of an older one is to be listed anew.
    void leaveEra(StoreEra newest);
    /// @p newestEvent: highest revision among the answer's events; 0 when it has none.
    void applyWatch(std::uint64_t asOf, std::uint64_t newestEvent);
    /// As applyWatch(). When the answer lacks the change @p latest, the next step is a list of the latest state.
    void applyCatchUp(std::uint64_t asOf, std::uint64_t newestEvent, std::uint64_t latest);
    /// A call failed, so changes may have been missed. @p historyGone: the store no longer has the changes after position().
    void invalidate(bool historyGone);
    /// Updates the time for which the copy has been behind @p latest; to be called about every 100 ms. Returns whether that is longer
    /// than the watch is allowed (lagToleranceMs).
    bool updateLag(std::uint64_t latest, std::int64_t nowMs);

    [[nodiscard]] bool isListed() const;
    [[nodiscard]] bool isOfOlderEra(StoreEra newest) const;
    [[nodiscard]] bool isBehind(std::uint64_t latest) const;
    [[nodiscard]] std::uint64_t position() const;
    /// Era of the last list that was applied.
    [[nodiscard]] StoreEra era() const;

private:
    mutable std::mutex mutex_;
    std::uint64_t position_ = 0;
    std::uint64_t content_ = 0;
    StoreEra era_ = 0;
    bool listed_ = false;
    bool mustListLatest_ = false;
    bool lagging_ = false;
    LagMonitor lag_;
};

} // namespace Wasabistair::Nodes
