#pragma once

#include <csignal>

/// The daemon is a small executable, launcher.cpp, which loads everything else as one shared library. Relocating the libraries takes some
/// ten milliseconds, and many times that on a slow VM. A signal that came meanwhile would end the process by its default action, and code of
/// the program itself runs only after that time. The launcher blocks the signals within the first millisecond instead.

namespace Wasabistair::App {

/// Blocks or unblocks the signals that stop or reload the process. Those that arrive while they are blocked are delivered afterwards.
inline void changeControlSignals(int how)
{
    sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGTERM);
    ::sigaddset(&signals, SIGINT);
    ::sigaddset(&signals, SIGHUP);
    ::sigprocmask(how, &signals, nullptr);
}

inline void blockControlSignals()
{
    changeControlSignals(SIG_BLOCK);
}

/// Call once the handlers are installed, before threads start: they inherit the mask.
inline void unblockControlSignals()
{
    changeControlSignals(SIG_UNBLOCK);
}

} // namespace Wasabistair::App

/// The program in the shared library, without C++ linkage so that the launcher finds it by its name.
extern "C" int wasabistairMain(int argc, char **argv);
