#pragma once

namespace Wasabistair::App {

/// Runs an entry VM on the users' platform until SIGTERM; the process's exit code. @p argv holds flags only.
int runEntryProgram(int argc, const char *const *argv);

} // namespace Wasabistair::App
