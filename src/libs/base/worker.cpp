#include "worker.h"

#include <chrono>

namespace Wasabistair::Base {

Worker::Worker(std::function<std::int64_t()> step)
    : step_(std::move(step))
    , thread_([this] { run(); })
{}

Worker::~Worker()
{
    stop();
}

void Worker::run()
{
    while (true) {
        {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return;
            }
            woken_ = false;
        }
        const std::int64_t waitMs = step_();
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(waitMs), [this] { return stopping_ || woken_; });
    }
}

void Worker::wake()
{
    const std::lock_guard lock(mutex_);
    woken_ = true;
    changed_.notify_all();
}

void Worker::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    if (thread_.joinable()) {
        thread_.join();
    }
}

} // namespace Wasabistair::Base
