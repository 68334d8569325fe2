#pragma once

#include <atomic>
#include <cstdint>

namespace Wasabistair::Base {

/// Bounds the memory that requests and answers of a process hold together. Thread-safe.
class MemoryBudget
{
public:
    explicit MemoryBudget(std::int64_t limitBytes);

    [[nodiscard]] bool tryTake(std::int64_t bytes);
    void give(std::int64_t bytes);
    [[nodiscard]] std::int64_t used() const;
    [[nodiscard]] std::int64_t limit() const;

private:
    const std::int64_t limitBytes_;
    std::atomic<std::int64_t> used_{0};
};

/// Holds a part of a MemoryBudget for as long as it lives.
class MemoryLease
{
public:
    explicit MemoryLease(MemoryBudget &budget);
    ~MemoryLease();
    MemoryLease(const MemoryLease &) = delete;
    MemoryLease &operator=(const MemoryLease &) = delete;

    [[nodiscard]] bool growTo(std::int64_t bytes);

private:
    MemoryBudget &budget_;
    std::int64_t held_ = 0;
};

} // namespace Wasabistair::Base
