#pragma once

namespace Wasabistair::Base {

/// Gives large buffers back to the operating system when they are freed, whichever thread held them; without it each thread's heap keeps
/// its largest. Call once, before threads start.
void returnLargeBuffers();

} // namespace Wasabistair::Base
