#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Wasabistair::Callers {

/// Counts and limits the requests of each service whose bodies are being streamed. Thread-safe.
class StreamCounter
{
public:
    bool tryAcquire(const std::string &service, std::int64_t limit);
    void release(const std::string &service);

private:
    std::mutex mutex_;
    std::map<std::string, std::int64_t> counts_;
};

} // namespace Wasabistair::Callers
