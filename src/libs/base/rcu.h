#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace Wasabistair::Base {

/// Scoped read-side critical section of read-copy-update (RCU). The scope must not contain blocking calls.
class RcuReadGuard
{
public:
    RcuReadGuard();
    ~RcuReadGuard();
    RcuReadGuard(const RcuReadGuard &) = delete;
    RcuReadGuard &operator=(const RcuReadGuard &) = delete;
};

/// Waits until every read-side critical section that was open at the call has ended (RCU grace period).
void rcuSynchronize();

/// Pointer to an immutable value that writers replace as a whole. Calls of read() never block and never write to shared memory.
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

    /// Returns shared ownership of the current value, for use across blocking calls. Takes a lock, so don't call it on the request path.
    [[nodiscard]] std::shared_ptr<const T> load() const
    {
        const std::lock_guard lock(mutex_);
        return owner_;
    }

    /// Replaces the value and waits until no call of read() uses the old one.
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
