#pragma once

#include "objectstore.h"

#include <base/clock.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Wasabistair::Platform {

/// Contents of a lease object.
struct LeaseRecord {
    std::string holder;
    std::uint64_t incarnation = 0;
    /// Rises with every change of holder; everything done under the lease carries it.
    std::uint64_t epoch = 0;
    std::int64_t durationMs = 0;

    auto operator<=>(const LeaseRecord &) const = default;
};

/// A lease on one duty, kept as one object of the platform.
///
/// No clock is compared between machines. The holder counts its term from before the request that
/// renewed it; a contender takes over only after it has seen the same version for the whole term and a
/// margin for clock rate on its own clock. Holders must check isHeld() immediately before each act and
/// make the act conditional on a version, because they can be paused after the check.
class Lease
{
public:
    Lease(ObjectStore &store, const Base::Clock &clock, std::string key, std::string holder, std::uint64_t incarnation, std::int64_t durationMs);

    /// Acquires, renews or observes; call several times per term. Returns isHeld().
    bool refresh();
    [[nodiscard]] bool isHeld() const;
    [[nodiscard]] std::uint64_t epoch() const;
    /// Gives the lease up, so that a successor need not wait.
    void release();

private:
    void observe(const VersionedValue &value);
    bool write(std::uint64_t epoch, std::int64_t durationMs);

    ObjectStore &store_;
    const Base::Clock &clock_;
    const std::string key_;
    const std::string holder_;
    const std::uint64_t incarnation_;
    const std::int64_t durationMs_;
    Version version_ = noVersion;
    LeaseRecord seen_;
    Base::MonotonicMs seenSince_ = 0;
    Base::MonotonicMs heldUntil_ = 0;
    bool known_ = false;
};

} // namespace Wasabistair::Platform
