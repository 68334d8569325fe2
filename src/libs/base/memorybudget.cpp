#include "memorybudget.h"

namespace Wasabistair::Base {

MemoryBudget::MemoryBudget(std::int64_t limitBytes)
    : limitBytes_(limitBytes)
{}

bool MemoryBudget::tryReserve(std::int64_t bytes)
{
    if (usedBytes_.fetch_add(bytes, std::memory_order_relaxed) + bytes <= limitBytes_) {
        return true;
    }
    release(bytes);
    return false;
}

void MemoryBudget::release(std::int64_t bytes)
{
    usedBytes_.fetch_sub(bytes, std::memory_order_relaxed);
}

std::int64_t MemoryBudget::used() const
{
    return usedBytes_.load(std::memory_order_relaxed);
}

std::int64_t MemoryBudget::limit() const
{
    return limitBytes_;
}

MemoryReservation::MemoryReservation(MemoryBudget &budget)
    : budget_(budget)
{}

MemoryReservation::~MemoryReservation()
{
    budget_.release(reservedBytes_);
}

bool MemoryReservation::growTo(std::int64_t bytes)
{
    if (bytes <= reservedBytes_) {
        return true;
    }
    if (!budget_.tryReserve(bytes - reservedBytes_)) {
        return false;
    }
    reservedBytes_ = bytes;
    return true;
}

} // namespace Wasabistair::Base
