#pragma once

#include <base/clock.h>
#include <platform/objectstore.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Wasabistair::StandIns {

/// Clock whose time tests set.
class ManualClock: public Base::Clock
{
public:
    [[nodiscard]] Base::MonotonicMs monotonic() const override
    {
        return monotonic_;
    }
    [[nodiscard]] Base::WallMs wall() const override
    {
        return wall_;
    }
    void advance(std::int64_t milliseconds)
    {
        monotonic_ += milliseconds;
        wall_ += milliseconds;
    }
    /// Steps the wall clock and leaves the monotonic clock as it is.
    void stepWallClock(std::int64_t milliseconds)
    {
        wall_ += milliseconds;
    }

private:
    std::atomic<std::int64_t> monotonic_{1'000'000};
    std::atomic<std::int64_t> wall_{1'800'000'000'000};
};

/// In-memory platform store without a network, for single-threaded tests.
class MemoryStore: public Platform::ObjectStore
{
public:
    /// Number of upcoming put() calls that take effect and fail with OutcomeUnknown.
    int loseAnswers = 0;
    /// Number of upcoming put() calls that have no effect and fail with OutcomeUnknown.
    int loseWrites = 0;
    /// Every call fails with Unreachable.
    bool down = false;
    /// Returned by vms().
    Platform::VmList list_;
    /// Number of calls so far.
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;

    [[nodiscard]] Base::Result<Platform::VersionedValue> get(const std::string &key) override;
    [[nodiscard]] Base::Result<Platform::Version> put(const std::string &key, const std::string &value, Platform::Version expected) override;
    [[nodiscard]] Base::Result<Platform::Version> remove(const std::string &key, Platform::Version expected) override;
    [[nodiscard]] Base::Result<Platform::VersionedValue> watch(const std::string &key, Platform::Version known, int timeoutMs) override;
    [[nodiscard]] Base::Result<std::vector<std::string>> list(const std::string &prefix) override;
    [[nodiscard]] Base::Result<Platform::VmList> vms(Platform::Version known = Platform::noVersion) override;

private:
    std::map<std::string, Platform::VersionedValue> objects_;
    Platform::Version nextVersion_ = 1;
};

} // namespace Wasabistair::StandIns
