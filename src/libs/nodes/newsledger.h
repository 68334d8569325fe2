#pragma once

#include <base/clock.h>

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/// Which VMs read the store's latest state, and how the others notice that what they read is behind it.
///
/// Every VM watches the store with calls that may return old data and cost a tenth. The readers of each availability zone make
/// calls that return the latest. Signs of life carry the revisions of the newest changes that their sender has read; a VM that
/// hasn't read them within lagToleranceMs asks for the latest state once. A VM that hears no reader reads for itself.
namespace Wasabistair::Nodes {

/// Kinds of changes that have a bound on the time until they are in force.
enum class NewsKind {
    Configuration,
    Upstreams,
    Evacuations,
};

constexpr std::size_t newsKindCount = 3;

/// Revision of the store at which each kind changed last.
using NewsRevisions = std::array<std::uint64_t, newsKindCount>;

/// Zones of up to this many VMs have them all read: such fleets are small, and so are their bounds on news (2 s and more).
constexpr std::size_t smallZone = 2;
/// Readers of a larger zone; the other zones' VMs cover until its silence is noticed.
constexpr std::size_t readersPerZone = 1;
/// How long the cheap way may take to bring a change that is known to have happened, in ms. It usually takes some 20 ms, the
/// shortest bound on news is 2 s.
constexpr std::int64_t lagToleranceMs = 300;
/// A VM that has heard no reader for this long reads for itself. Two signs of life, one a second, and their delay.
constexpr std::int64_t readerSilenceMs = 2'200;
/// A VM that starts hears of its peers first, in two signs of life; then it may be a reader. No bound holds sooner: the shortest
/// stability window is 3 s.
constexpr std::int64_t appointmentGraceMs = 2'500;
/// By then the readers of a zone that starts as a whole have said so.
constexpr std::int64_t startGraceMs = 4'000;

/// Whether @p vm is one of the readers that @p zone appoints among its @p living VMs, which @p vm is one of whether named or
/// not. VMs that agree on who lives agree on the readers, without a message.
[[nodiscard]] bool isAppointedReader(const std::string &zone, const std::string &vm, const std::vector<std::string> &living);

/// What one VM has heard of the store's revisions. Thread-safe.
class NewsLedger
{
public:
    explicit NewsLedger(Base::MonotonicMs startedAt);

    /// Revisions from a sign of life; @p fromReader: the sender is of this zone, reads the latest state of the store, and reaches it.
    void hear(const NewsRevisions &revisions, bool fromReader, Base::MonotonicMs now);
    /// A change that this VM has read itself.
    void note(NewsKind kind, std::uint64_t revision);
    /// The store's latest state is of @p asOf: a later change that was heard of has not happened.
    void limit(NewsKind kind, std::uint64_t asOf);
    /// Changes that this VM has read itself. Only these are told to others, so that a false report goes no further.
    [[nodiscard]] NewsRevisions own() const;
    /// Revision of the newest change that is known to have happened.
    [[nodiscard]] std::uint64_t newest(NewsKind kind) const;

    /// Makes this VM a reader of its zone, or takes that back.
    void setAppointed(bool appointed);
    [[nodiscard]] bool isAppointed() const;
    /// Whether this VM must ask for the store's latest state: it is appointed, or hears no reader.
    [[nodiscard]] bool mustRead(Base::MonotonicMs now) const;
    /// Tells whether this VM does read the latest state, and reaches the store.
    void setReading(bool reading);
    [[nodiscard]] bool isReading() const;

private:
    mutable std::mutex mutex_;
    const Base::MonotonicMs startedAt_;
    bool appointed_ = false;
    bool reading_ = false;
    NewsRevisions own_{};
    std::optional<Base::MonotonicMs> readerHeardAt_;
    NewsRevisions newest_{};
};

/// Tells when a copy has been behind the newest known change for longer than lagToleranceMs.
class LagClock
{
public:
    /// @p known: revision up to which the copy is complete; @p newest: that of the newest change.
    [[nodiscard]] bool isLate(std::uint64_t known, std::uint64_t newest, Base::MonotonicMs now);

private:
    std::optional<Base::MonotonicMs> behindSince_;
};

} // namespace Wasabistair::Nodes
