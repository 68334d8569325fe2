#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>

namespace Wasabistair::Base {

/// Thread that runs a periodic task until stopped or destroyed.
class Worker
{
public:
    /// Starts the thread. @p step is the task; it returns the milliseconds to wait before its next call. An exception from it is logged, and
    /// the task is called again after a pause.
    explicit Worker(std::function<std::int64_t()> step);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// Ends the current wait at once. When the task is running, skips the wait that follows it.
    void wake();
    /// Ends the thread, and waits until a running call of the task has returned.
    void stop();

private:
    void run();
    [[nodiscard]] std::int64_t runStep();

    const std::function<std::int64_t()> step_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    bool woken_ = false;
    std::thread thread_;
};

} // namespace Wasabistair::Base
