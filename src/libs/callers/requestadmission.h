#pragma once

#include "requestlog.h"

#include <http/bytestream.h>

#include <cstdint>
#include <optional>

namespace Wasabistair::Callers {

/// Whether requests to @p service are admitted in the order of what their delay costs callers.
[[nodiscard]] bool isAdmissionOrdered(const DispatchContext &context, const Steering::Manifest &manifest, const Steering::ServiceSnapshot &service);

/// Passage of one request through the admission to its service. Ends the request's wait when it is destroyed.
class RequestAdmission
{
public:
    /// Counts the request. @p keyed: whether it takes less time at an upstream that knows its affinity key. @p progress: progress of the same request, with its
    /// deadline set; must outlive this object.
    RequestAdmission(DispatchContext &context, const Steering::ServiceSnapshot &service, const Steering::RequestRules &rules, bool keyed,
        Base::MonotonicMs arrivedAt, DispatchProgress &progress);
    ~RequestAdmission();
    RequestAdmission(const RequestAdmission &) = delete;
    RequestAdmission &operator=(const RequestAdmission &) = delete;

    /// See SelectionQuery::maxLoadPerSlot.
    [[nodiscard]] double maxLoadPerSlot(Base::MonotonicMs now) const;
    /// Called when an upstream with @p loadPerSlot was selected.
    void onRoomFound(double loadPerSlot, Base::MonotonicMs now);
    void onAttemptEnded(Steering::AttemptOutcome outcome, std::int64_t tookMs, Base::MonotonicMs now);
    /// Waits until the request may look for room again; false when it is refused. @p admissionInMs: see Selection::admissionInMs.
    [[nodiscard]] bool awaitTurn(const Http::ByteStream &caller, std::int64_t admissionInMs);
    /// Time after which the caller of a refused request should return, in ms. @p point from 0 to 1 spreads callers within a slot of time.
    [[nodiscard]] std::int64_t returnAfterMs(double point, std::int64_t admissionInMs);

private:
    [[nodiscard]] bool refuse(Steering::AdmissionReason reason);
    void endWait(Steering::AdmissionReason reason);

    DispatchContext &context_;
    Steering::ServiceAdmission &admission_;
    /// Keeps the service's record alive when the configuration removes the service.
    const std::shared_ptr<Steering::ServiceRecord> record_;
    DispatchProgress &progress_;
    const bool keyed_;
    Steering::AdmissionGroups groups_;
    Steering::AdmissionNeed need_;
    std::optional<Steering::ServiceAdmission::Id> waitId_;
    Base::MonotonicMs waitingSince_ = 0;
    double loadPerSlot_ = 0;
    bool served_ = false;
};

} // namespace Wasabistair::Callers
