#pragma once

#include <base/clock.h>
#include <platform/objectstore.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Wasabistair::StandIns {

/// A clock that tests move.
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
    /// Moves the wall clock only.
    void jump(std::int64_t milliseconds)
    {
        wall_ += milliseconds;
    }

private:
    std::atomic<std::int64_t> monotonic_{1'000'000};
    std::atomic<std::int64_t> wall_{1'800'000'000'000};
};

/// The platform in memory, without a network; single-threaded tests of everything that uses it.
class MemoryStore: public Platform::ObjectStore
{
public:
    /// The next so many writes take effect and their answers are lost.
    int loseAnswers = 0;
    /// The next so many writes have no effect and no answer.
    int loseWrites = 0;
    bool down = false;
    Platform::VmList list_;
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
