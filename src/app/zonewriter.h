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

namespace Wasabistair::App {

/// Collects the reports of one zone's VMs and writes the zone's status and review objects.
///
/// One relay of the zone holds the lease and writes; the platform's load then grows with the number
/// of zones, not of VMs. All writes are conditional, and figures are overwritten rather than added, so
/// two writers, repeated writes and lost answers do no harm. A killed VM loses what it counted since its
/// last report: at most two report intervals.
class ZoneWriter
{
public:
    static constexpr std::int64_t leaseMs = 20'000;
    /// A VM that has not reported for this long is left out of the status object.
    static constexpr Base::MonotonicMs statusKeepMs = 60'000;
    /// Figures of an incarnation that has not reported for this long are folded into the zone's sum.
    static constexpr Base::MonotonicMs retireAfterMs = 3'600'000;

    ZoneWriter(Platform::ObjectStore &store, const Base::Clock &clock, std::string zone, std::string vm, std::uint64_t incarnation);

    void receive(const Nodes::Report &report);
    /// Writes if this process holds the zone's lease (or, with @p eligible false, gives it up).
    void flush(bool eligible);
    void release();

private:
    struct Received {
        Base::MonotonicMs at = 0;
        std::string status;
        std::string month;
        Operators::Figures figures;
    };

    void writeStatus(const std::map<Operators::Source, Received> &reports);
    void writeReview(const std::string &month, const std::map<Operators::Source, Received> &reports);

    Platform::ObjectStore &store_;
    const Base::Clock &clock_;
    const std::string zone_;
    Platform::Lease lease_;
    std::mutex mutex_;
    std::map<Operators::Source, Received> reports_;
};

[[nodiscard]] std::string statusPrefix();
[[nodiscard]] std::string statusKey(const std::string &zone);

/// Compressed body of a report: status, month and figures.
[[nodiscard]] std::string encodeReport(const nlohmann::json &status, const std::string &month, const Operators::Figures &figures);

} // namespace Wasabistair::App
