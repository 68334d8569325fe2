#include "memorybudget.h"

namespace Wasabistair::Base {

MemoryBudget::MemoryBudget(std::int64_t limitBytes)
    : limitBytes_(limitBytes)
{}

bool MemoryBudget::tryTake(std::int64_t bytes)
{
    if (used_.fetch_add(bytes, std::memory_order_relaxed) + bytes <= limitBytes_) {
        return true;
    }
    give(bytes);
    return false;
}

void MemoryBudget::give(std::int64_t bytes)
{
    used_.fetch_sub(bytes, std::memory_order_relaxed);
}

std::int64_t MemoryBudget::used() const
{
    return used_.load(std::memory_order_relaxed);
}

std::int64_t MemoryBudget::limit() const
{
    return limitBytes_;
}

MemoryLease::MemoryLease(MemoryBudget &budget)
    : budget_(budget)
{}

MemoryLease::~MemoryLease()
{
    budget_.give(held_);
}

bool MemoryLease::growTo(std::int64_t bytes)
{
    if (bytes <= held_) {
        return true;
    }
    if (!budget_.tryTake(bytes - held_)) {
        return false;
    }
    held_ = bytes;
    return true;
}

} // namespace Wasabistair::Base
