#include "stopplan.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// Some callers cache a look-up answer for up to three times its maximum age.
constexpr std::int64_t maxLookupAgeFactor = 3;
constexpr std::int64_t percent = 100;
// Percentage of the stop's grace period after which new requests are rejected; the rest is left to active requests.
constexpr std::int64_t rejectAfterPercent = 55;
// Time from the start of a stop in which every request is taken: callers still choose this VM, and the platform's contract expects
// those that take too long to be broken off. Later ones must be able to end before the process exits.
constexpr std::int64_t takeAllMs = 3'000;
// Requests end this long before the grace period does: on an overloaded processor the last steps of the process take hundreds of ms.
constexpr std::int64_t exitMarginMs = 600;
// Part of that margin in which answers of requests that ended at the deadline can be written.
constexpr std::int64_t lastAnswersMs = 200;

} // namespace

StopPlan planStop(std::int64_t requestedAtMs, std::int64_t graceMs, std::int64_t lookupAgeMs)
{
    StopPlan plan;
    plan.takeAllUntilMs = requestedAtMs + takeAllMs;
    plan.deadlineMs = requestedAtMs + graceMs - exitMarginMs;
    plan.lookupsExpireAtMs = std::min(requestedAtMs + maxLookupAgeFactor * lookupAgeMs, plan.deadlineMs);
    plan.rejectFromMs = requestedAtMs + graceMs * rejectAfterPercent / percent;
    plan.exitAtMs = plan.deadlineMs + lastAnswersMs;
    return plan;
}

bool mayEndIntake(const StopPlan &plan, int activeRequests, std::int64_t nowMs)
{
    return nowMs >= plan.deadlineMs || (activeRequests == 0 && nowMs >= plan.lookupsExpireAtMs);
}

bool mayExit(const StopPlan &plan, int activeRequests, std::int64_t nowMs)
{
    return activeRequests == 0 || nowMs >= plan.exitAtMs;
}

bool isTooLate(const StopPlan &plan, std::int64_t latestEndMs, std::int64_t nowMs)
{
    return nowMs >= plan.rejectFromMs || (nowMs >= plan.takeAllUntilMs && latestEndMs > plan.deadlineMs);
}

} // namespace Wasabistair::Steering
