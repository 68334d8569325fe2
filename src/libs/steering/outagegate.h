#pragma once

#include <cstdint>
#include <mutex>

namespace Wasabistair::Steering {

/// Spares a store that is away: of all that would call it, one at a time tries whether it is back. Thread-safe.
///
/// Every call is priced, refused ones too. Failures in a row count, whoever met them; one success ends them.
class OutageGate
{
public:
    /// Failures in a row from which the store counts as away; fewer are those of single connections.
    static constexpr int failuresOfOutage = 4;
    static constexpr std::int64_t firstBackoffMs = 100;
    /// Bounds how late the store's return is noticed; a third of the shortest stability window.
    static constexpr std::int64_t longestBackoffMs = 1'000;
    /// A try that has not ended by then no longer keeps others from trying.
    static constexpr std::int64_t longestTryMs = 3'000;

    /// Whether the caller may call now. During an outage a yes makes it the one that tries.
    [[nodiscard]] bool mayCall(std::int64_t nowMs);
    /// @p point, evenly from 0 to 1, spreads the tries of many VMs.
    void failed(std::int64_t nowMs, double point);
    void succeeded();
    /// A call was given up and says nothing about the store; another may be made at once.
    void abandoned();

private:
    std::mutex mutex_;
    int failures_ = 0;
    std::int64_t backoffMs_ = 0;
    std::int64_t nextTryAtMs_ = 0;
};

} // namespace Wasabistair::Steering
