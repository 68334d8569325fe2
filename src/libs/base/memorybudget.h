#pragma once

#include <atomic>
#include <cstdint>

namespace Wasabistair::Base {

/// Limits the total memory held by the requests and answers of a process. Thread-safe.
class MemoryBudget
{
public:
    explicit MemoryBudget(std::int64_t limitBytes);

    /// Reserves @p bytes; returns false, and reserves nothing, when the limit would be exceeded.
    [[nodiscard]] bool tryReserve(std::int64_t bytes);
    void release(std::int64_t bytes);
    [[nodiscard]] std::int64_t used() const;
    [[nodiscard]] std::int64_t limit() const;

private:
    const std::int64_t limitBytes_;
    std::atomic<std::int64_t> usedBytes_{0};
};

/// Reservation of a part of a MemoryBudget, released on destruction.
class MemoryReservation
{
public:
    explicit MemoryReservation(MemoryBudget &budget);
    ~MemoryReservation();
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    /// Raises the reservation to @p bytes in total; returns false, and leaves it unchanged, when the limit would be exceeded.
    [[nodiscard]] bool growTo(std::int64_t bytes);

private:
    MemoryBudget &budget_;
    std::int64_t reservedBytes_ = 0;
};

} // namespace Wasabistair::Base
