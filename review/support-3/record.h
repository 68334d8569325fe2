#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace Wasabistair::Review {

/// Time of the monotonic clock, in ms.
[[nodiscard]] std::int64_t nowMs();

/// What was sent, answered and run, one line each with the time since the start, in ms. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &line);
    /// Time since the start of the record, in ms.
    [[nodiscard]] std::int64_t elapsedMs() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    const std::int64_t startMs_;
};

} // namespace Wasabistair::Review
