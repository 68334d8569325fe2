#include "worker.h"

#include "log.h"

#include <chrono>
#include <exception>

namespace Wasabistair::Base {

namespace {

// Pause after a call of the task that failed.
constexpr std::int64_t failurePauseMs = 1'000;

} // namespace

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
        const std::int64_t waitMs = runStep();
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(waitMs), [this] { return stopping_ || woken_; });
    }
}

std::int64_t Worker::runStep()
{
    try {
        return step_();
    } catch (const std::exception &error) {
        // Such as std::bad_alloc. An exception that left the thread would end the process and cut all requests in flight.
        log(LogLevel::Error, "worker-step-failed", {{"cause", error.what()}});
        return failurePauseMs;
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
