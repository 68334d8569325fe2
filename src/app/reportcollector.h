#pragma once

#include <base/clock.h>
#include <nodes/message.h>
#include <operators/review.h>
#include <platform/lease.h>
#include <platform/objectstore.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Wasabistair::App {

/// Collects the reports of one group of a zone's VMs and writes the group's status and review objects.
///
/// Only the relay of the zone that holds the group's lease writes, so the platform's load grows with the
/// number of zones and is independent of the number of VMs. All writes are conditional, and figures are
/// cumulative and replace earlier ones, so two writers, repeated writes and lost answers do no harm. A killed
/// VM loses what it counted since its last report: at most two report intervals.
class ReportCollector
{
public:
    static constexpr std::int64_t leaseMs = 20'000;
    /// A VM that has not reported for this long is omitted from the status object.
    static constexpr Base::MonotonicMs statusRetentionMs = 60'000;
    /// Time for which a report is kept in memory.
    static constexpr Base::MonotonicMs reportRetentionMs = 3'600'000;
    /// Figures of an incarnation that has not reported for this long are merged into the group's total; its later
    /// reports are ignored. Longer than any expected outage, and short enough to keep the object small although VMs
    /// are replaced every day.
    static constexpr Base::WallMs retireAfterMs = 24 * 3'600'000;

    /// @p group consists of the zone and the group's number, as in "leinster-a.0".
    ReportCollector(Platform::ObjectStore &store, const Base::Clock &clock, std::string group, std::string vm, std::uint64_t incarnation);

    void receive(const Nodes::VmReport &report);
    /// Writes the group's objects if this process holds or acquires the group's lease. Releases the lease if not @p eligible.
    void flush(bool eligible);
    void release();

private:
    struct ReceivedReport {
        Base::MonotonicMs at = 0;
        std::string status;
        Operators::Figures figures;
    };
    /// Latest report by incarnation and month: around the end of a month a VM reports both months.
    using Reports = std::map<std::pair<Operators::VmIncarnation, std::string>, ReceivedReport>;

    void writeStatus(const Reports &reports);
    /// Incarnations in @p review whose figures of @p month are final: those that a newer incarnation has replaced, or that have not
    /// reported for retireAfterMs, unless a report of theirs is still in memory.
    [[nodiscard]] std::vector<Operators::VmIncarnation> finishedSources(
        const Operators::ReviewObject &review, const std::string &month, const Reports &reports) const;
    void writeReview(const std::string &month, const Reports &reports);

    Platform::ObjectStore &store_;
    const Base::Clock &clock_;
    const std::string group_;
    Platform::Lease lease_;
    std::mutex mutex_;
    Reports reports_;
};

[[nodiscard]] std::string statusPrefix();
[[nodiscard]] std::string statusKey(const std::string &group);
/// Name of one group of a zone's VMs in the store's keys, as in "leinster-a.0".
[[nodiscard]] std::string reportGroupName(const std::string &zone, std::size_t group);

/// Compressed body of a report: status, month and figures.
[[nodiscard]] std::string encodeReport(const nlohmann::json &status, const std::string &month, const Operators::Figures &figures);

} // namespace Wasabistair::App
