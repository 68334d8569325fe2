#include "requestintake.h"

namespace Wasabistair::Callers {

RequestIntake::ActiveRequest::ActiveRequest(RequestIntake &intake, prometheus::Gauge &gauge)
    : intake_(intake)
    , gauge_(gauge)
{
    intake_.active_.fetch_add(1);
    gauge_.Increment();
}

RequestIntake::ActiveRequest::~ActiveRequest()
{
    gauge_.Decrement();
    intake_.active_.fetch_sub(1);
}

void RequestIntake::beginStop(const Steering::StopPlan &plan)
{
    plan_ = plan;
    stopDeadline_ = plan.deadlineMs;
    stopping_ = true;
}

void RequestIntake::end()
{
    ended_ = true;
}

bool RequestIntake::isStopping() const
{
    return stopping_;
}

bool RequestIntake::mustReject(Base::MonotonicMs latestEnd, Base::MonotonicMs now) const
{
    // Sequentially consistent, as the count is: a thread that reads no end here was counted before the end.
    return stopping_ && (ended_ || Steering::isTooLate(plan_, latestEnd, now));
}

int RequestIntake::activeRequests() const
{
    return active_;
}

const std::atomic<Base::MonotonicMs> &RequestIntake::stopDeadline() const
{
    return stopDeadline_;
}

} // namespace Wasabistair::Callers
