#pragma once

namespace Wasabistair::App {

/// Runs an entry VM on the users' platform until SIGTERM or SIGINT. Returns the exit code, or ends the process with it.
/// The arguments after argv[0] are flags only.
int runEntryProgram(int argc, const char *const *argv);

} // namespace Wasabistair::App
