#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace Wasabistair::Base {

/// Marks a read-side critical section of read-copy-update. Must not span blocking calls.
class RcuReadGuard
{
public:
    RcuReadGuard();
    ~RcuReadGuard();
    RcuReadGuard(const RcuReadGuard &) = delete;
    RcuReadGuard &operator=(const RcuReadGuard &) = delete;
};

/// Waits until every read-side critical section that is under way has ended.
void rcuSynchronize();

/// One immutable value that is replaced as a whole. Readers never block and never write to shared memory.
template<typename T>
class RcuPointer
{
public:
    explicit RcuPointer(std::shared_ptr<const T> initial)
        : owner_(std::move(initial))
        , current_(owner_.get())
    {}

    /// Calls @p reader with the current value inside a read-side critical section.
    template<typename F>
    auto read(F &&reader) const
    {
        const RcuReadGuard guard;
        return std::forward<F>(reader)(*current_.load(std::memory_order_acquire));
    }

    /// Shared ownership of the current value, for work that blocks. Takes a lock: not for the request path.
    [[nodiscard]] std::shared_ptr<const T> hold() const
    {
        const std::lock_guard lock(mutex_);
        return owner_;
    }

    /// Replaces the value and waits until no reader uses the old one.
    void publish(std::shared_ptr<const T> next)
    {
        std::shared_ptr<const T> old;
        {
            const std::lock_guard lock(mutex_);
            current_.store(next.get(), std::memory_order_release);
            old = std::exchange(owner_, std::move(next));
        }
        rcuSynchronize();
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> owner_;
    std::atomic<const T *> current_;
};

} // namespace Wasabistair::Base
