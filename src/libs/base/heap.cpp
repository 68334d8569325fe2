#include "heap.h"

#include <malloc.h>

namespace Wasabistair::Base {

namespace {

// Larger than bodies usually are (60 kB), so that those need no system calls.
constexpr int largeBufferBytes = 256 * 1024;

} // namespace

void returnLargeBuffers()
{
    // A threshold that is set also keeps the C library from raising it to the largest buffer that was freed.
    ::mallopt(M_MMAP_THRESHOLD, largeBufferBytes);
    ::mallopt(M_TRIM_THRESHOLD, largeBufferBytes);
}

} // namespace Wasabistair::Base
