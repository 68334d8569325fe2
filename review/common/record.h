#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace Wasabistair::Review {

/// What a case's record.txt holds: one line for each event, with the milliseconds since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
    {}

    [[nodiscard]] std::int64_t nowMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start_).count();
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        file_ << nowMs() << " ms  " << text << std::endl;
    }

private:
    const std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace Wasabistair::Review
