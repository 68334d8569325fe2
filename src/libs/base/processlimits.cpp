#include "processlimits.h"

#include <cstddef>
#include <limits>
#include <malloc.h>
#include <pthread.h>
#include <sys/resource.h>

namespace Wasabistair::Base {

namespace {

// Above the usual body size (60 kB), so that allocating a usual body needs no system call.
constexpr int returnThresholdBytes = 256 * 1024;
// Each arena beyond the first reserves 64 MiB of address space.
constexpr int maxArenas = 2;
// Bodies and messages are on the heap, and values read from other processes are nested at most 64 levels.
constexpr std::size_t threadStackBytes = 512 * 1024;

} // namespace

void configureHeap()
{
    // Setting the threshold also disables glibc's dynamic one, which grows to the largest buffer freed.
    ::mallopt(M_MMAP_THRESHOLD, returnThresholdBytes);
    ::mallopt(M_TRIM_THRESHOLD, returnThresholdBytes);
    ::mallopt(M_ARENA_MAX, maxArenas);
}

void configureStacks()
{
    pthread_attr_t attributes;
    ::pthread_attr_init(&attributes);
    ::pthread_attr_setstacksize(&attributes, threadStackBytes);
    ::pthread_setattr_default_np(&attributes);
    ::pthread_attr_destroy(&attributes);
}

std::int64_t raiseDescriptorLimit()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    rlimit raised = limit;
    raised.rlim_cur = raised.rlim_max;
    if (::setrlimit(RLIMIT_NOFILE, &raised) == 0) {
        limit = raised;
    }
    return limit.rlim_cur == RLIM_INFINITY ? std::numeric_limits<std::int64_t>::max() : static_cast<std::int64_t>(limit.rlim_cur);
}

} // namespace Wasabistair::Base
