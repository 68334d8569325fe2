#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>

namespace Wasabistair::Base {

/// A thread that calls a function again and again until stopped or destroyed.
class Worker
{
public:
    /// @p step returns the milliseconds to wait before it is called again.
    explicit Worker(std::function<std::int64_t()> step);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// Ends the present wait at once.
    void wake();
    /// Waits for the present call to return, and ends the thread.
    void stop();

private:
    void run();

    const std::function<std::int64_t()> step_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    bool woken_ = false;
    std::thread thread_;
};

} // namespace Wasabistair::Base
