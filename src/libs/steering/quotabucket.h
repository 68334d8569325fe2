#pragma once

#include "teamdirectory.h"

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstdint>

namespace Wasabistair::Steering {

/// How the limit of each team is divided and how long tokens of it last. Follows from the platform's settings.
struct QuotaTerms {
    /// Number of parts into which each limit is divided: one a region, or one a zone where there is one region.
    int parts = 1;
    /// Time in ms after a borrower's request in which the tokens granted for it may be used.
    std::int64_t tokenLifeMs = 400;
    /// Tokens that the buckets of all parts together hold beyond the burst.
    double extraBurst = 0;

    auto operator<=>(const QuotaTerms &) const = default;
};

/// Tokens of one team that one keeper may grant.
struct QuotaBucket {
    /// Tokens that flow in, in 1/s.
    double perSecond = 0;
    double capacity = 0;
    double tokens = 0;
    std::int64_t filledAtMs = 0;
    /// Up to when the tokens that will flow in were promised to borrowers that asked in vain.
    std::int64_t promisedUntilMs = 0;

    auto operator<=>(const QuotaBucket &) const = default;
};

/// Adds the tokens that flowed in since the last call.
inline void fillBucket(QuotaBucket &bucket, std::int64_t nowMs)
{
    constexpr double msPerSecond = 1'000;
    const auto elapsedMs = static_cast<double>(std::max<std::int64_t>(0, nowMs - bucket.filledAtMs));
    bucket.tokens = std::min(bucket.capacity, bucket.tokens + bucket.perSecond * elapsedMs / msPerSecond);
    bucket.filledAtMs = std::max(bucket.filledAtMs, nowMs);
}

/// Sets the limit that holds from now on. Tokens beyond the new capacity are lost, tokens up to it aren't added.
inline void limitBucket(QuotaBucket &bucket, const TeamLimit &limit, const QuotaTerms &terms, std::int64_t nowMs)
{
    fillBucket(bucket, nowMs);
    bucket.perSecond = limit.requestsPerSecond / terms.parts;
    bucket.capacity = (limit.burst + terms.extraBurst) / terms.parts;
    bucket.tokens = std::min(bucket.tokens, bucket.capacity);
}

/// Takes up to @p wanted whole tokens and returns how many.
inline std::int64_t takeTokens(QuotaBucket &bucket, std::int64_t wanted, std::int64_t nowMs)
{
    fillBucket(bucket, nowMs);
    const std::int64_t taken = std::clamp<std::int64_t>(static_cast<std::int64_t>(std::floor(bucket.tokens)), 0, std::max<std::int64_t>(0, wanted));
    bucket.tokens -= static_cast<double>(taken);
    return taken;
}

/// Promises the next token that isn't promised yet; returns the time until then in ms.
inline std::int64_t promiseToken(QuotaBucket &bucket, std::int64_t nowMs)
{
    constexpr double msPerSecond = 1'000;
    // Shorter pauses would cost more datagrams than tokens; longer ones would leave tokens unused when borrowers lose interest.
    constexpr std::int64_t minPauseMs = 40;
    constexpr std::int64_t maxPauseMs = 500;
    if (bucket.perSecond <= 0) {
        return maxPauseMs;
    }
    const double missing = std::max(0.0, 1 - (bucket.tokens - std::floor(bucket.tokens)));
    const auto tokenMs = static_cast<std::int64_t>(std::ceil(msPerSecond / bucket.perSecond));
    const auto nextMs = nowMs + static_cast<std::int64_t>(std::ceil(missing * msPerSecond / bucket.perSecond));
    // The bucket must not run over while all that asked are waiting.
    const auto halfFullMs = static_cast<std::int64_t>(bucket.capacity / 2 * msPerSecond / bucket.perSecond);
    const std::int64_t latestMs = std::max(nextMs, nowMs + std::min(maxPauseMs, halfFullMs));
    bucket.promisedUntilMs = std::min(latestMs, std::max(nextMs, bucket.promisedUntilMs + tokenMs));
    return std::max(minPauseMs, bucket.promisedUntilMs - nowMs);
}

} // namespace Wasabistair::Steering
