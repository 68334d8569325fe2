#pragma once

#include <cstdint>
#include <mutex>

namespace Wasabistair::Nodes {

/// Era of the store, which rises by one each time that the store comes back from an older copy. Revisions are given out again then, so
/// that revisions of different eras can't be compared. 0: the store states no era.
using StoreEra = std::uint64_t;

/// What the era of one of the store's answers shows.
enum class EraChange {
    /// The era is the newest known one, or the answer states none.
    Unchanged,
    /// First era that this VM hears of.
    Learned,
    /// The store came back from an older copy since its last answer.
    Restored,
    /// The answer is from before the store came back; what it holds no longer applies.
    Outdated,
};

/// The newest era of the store that this VM knows of. Thread-safe.
///
/// Only the store's own answers prove an era. One that peers report is a reason to list anew, and doesn't invalidate answers: a wrong
/// report would otherwise cut the VM off from the store for good.
class StoreEraTracker
{
public:
    /// Records the era of an answer of the store.
    EraChange observe(StoreEra era);
    /// Records the era that a peer has seen.
    void report(StoreEra era);
    /// Records that the store's latest state is of @p era: a later era that peers reported is wrong.
    void disprove(StoreEra era);

    /// Era of the newest answer.
    [[nodiscard]] StoreEra confirmed() const;
    /// Newest era, whether it is that of an answer or was reported.
    [[nodiscard]] StoreEra newest() const;
    /// Number of times that the store came back from an older copy while this VM was running.
    [[nodiscard]] std::uint64_t restores() const;

private:
    mutable std::mutex mutex_;
    StoreEra confirmed_ = 0;
    StoreEra reported_ = 0;
    std::uint64_t restores_ = 0;
};

} // namespace Wasabistair::Nodes
