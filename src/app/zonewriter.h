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
/// One relay of the zone holds the group's lease and writes; the platform's load then grows with the number
/// of zones, not of VMs. All writes are conditional, and figures are overwritten rather than added, so
/// two writers, repeated writes and lost answers do no harm. A killed VM loses what it counted since its
/// last report: at most two report intervals.
class ZoneWriter
{
public:
    static constexpr std::int64_t leaseMs = 20'000;
    /// A VM that has not reported for this long is left out of the status object.
    static constexpr Base::MonotonicMs statusKeepMs = 60'000;
    /// A report is kept in memory for this long.
    static constexpr Base::MonotonicMs reportKeepMs = 3'600'000;
    /// Figures of an incarnation that has not reported for this long are folded into the group's sum; what
    /// it reports later is lost. Long enough for any outage, and the object stays small although VMs are
    /// replaced every day.
    static constexpr Base::WallMs retireAfterMs = 24 * 3'600'000;

    /// @p group: zone and number, see groupName().
    ZoneWriter(Platform::ObjectStore &store, const Base::Clock &clock, std::string group, std::string vm, std::uint64_t incarnation);

    void receive(const Nodes::Report &report);
    /// Writes if this process holds the group's lease (or, with @p eligible false, gives it up).
    void flush(bool eligible);
    void release();

private:
    struct Received {
        Base::MonotonicMs at = 0;
        std::string status;
        Operators::Figures figures;
    };
    /// By incarnation and month: around a month's end a VM reports both months.
    using Reports = std::map<std::pair<Operators::Source, std::string>, Received>;

    void writeStatus(const Reports &reports);
    /// Incarnations in @p review that will not report on @p month again.
    [[nodiscard]] std::vector<Operators::Source> gone(const Operators::ReviewObject &review, const std::string &month, const Reports &reports) const;
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
/// Name of one group of a zone's VMs in keys, as in "leinster-a.0".
[[nodiscard]] std::string groupName(const std::string &zone, std::size_t group);

/// Compressed body of a report: status, month and figures.
[[nodiscard]] std::string encodeReport(const nlohmann::json &status, const std::string &month, const Operators::Figures &figures);

} // namespace Wasabistair::App
