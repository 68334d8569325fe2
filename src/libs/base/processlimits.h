#pragma once

#include <cstdint>

namespace Wasabistair::Base {

/// Makes the allocator return large buffers to the operating system as soon as they are freed, and limits the number of its arenas: by
/// default each thread's arena keeps its largest buffer, and there are eight arenas a processor. Call once, before threads start.
void configureHeap();

/// Sets the stack size of threads that are started without one; by default each reserves 8 MiB of address space. Call once, before
/// threads start.
void configureStacks();

/// Raises the limit on open file descriptors as far as the system allows. Returns the limit in force.
[[nodiscard]] std::int64_t raiseDescriptorLimit();

} // namespace Wasabistair::Base
