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
    /// Fencing token: increases with every change of holder, and every action under the lease carries it.
    std::uint64_t epoch = 0;
    std::int64_t durationMs = 0;

    auto operator<=>(const LeaseRecord &) const = default;
};

/// Lease on one task, stored as one object of the platform.
///
/// Clocks of different machines are never compared. The holder counts its term from the moment before it
/// sends the renewing request. A contender takes over only after the object's version has stayed the same
/// for the whole term plus a margin for clock rate, measured on the contender's own clock. Holders must
/// check isHeld() immediately before each action and make the action conditional on a version, because
/// they can be paused after the check.
class Lease
{
public:
    Lease(ObjectStore &store, const Base::Clock &clock, std::string key, std::string holder, std::uint64_t incarnation, std::int64_t durationMs);

    /// Renews the lease if it is held, acquires it if it is free or expired, and otherwise reads the current
    /// record. Must be called several times per term. Returns isHeld().
    bool refresh();
    [[nodiscard]] bool isHeld() const;
    [[nodiscard]] std::uint64_t epoch() const;
    /// Releases the lease, so that a successor can acquire it without waiting for the term to expire.
    void release();

private:
    void updateRecord(const VersionedValue &value);
    bool write(std::uint64_t epoch, std::int64_t durationMs);

    ObjectStore &store_;
    const Base::Clock &clock_;
    const std::string key_;
    const std::string holder_;
    const std::uint64_t incarnation_;
    const std::int64_t durationMs_;
    Version version_ = noVersion;
    LeaseRecord record_;
    Base::MonotonicMs unchangedSince_ = 0;
    Base::MonotonicMs heldUntil_ = 0;
    bool hasRecord_ = false;
};

} // namespace Wasabistair::Platform
