#include <doctest/doctest.h>

#include <base/log.h>

#include <array>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace Wasabistair::Base;

namespace {

/// Several times the capacity of the log's buffer.
constexpr int floodLines = 10'000;
constexpr int waitSeconds = 20;

/// Runs a child process whose standard output is a pipe of one page that nobody reads.
struct UnreadChildFixture {
    UnreadChildFixture()
    {
        REQUIRE(::pipe(pipe.data()) == 0);
        ::fcntl(pipe[0], F_SETPIPE_SZ, 1);
    }
    ~UnreadChildFixture()
    {
        ::close(pipe[0]);
        ::close(pipe[1]);
    }

    /// Runs @p work in the child. Returns its exit code, or -1 when it crashed or did not end within waitSeconds.
    template<typename Work>
    int run(const Work &work)
    {
        const pid_t child = ::fork();
        if (child == 0) {
            ::dup2(pipe[1], STDOUT_FILENO);
            work();
            ::_exit(0);
        }
        int status = 0;
        for (int tenthsOfSecond = 0; tenthsOfSecond < waitSeconds * 10; ++tenthsOfSecond) {
            if (::waitpid(child, &status, WNOHANG) == child) {
                return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        ::kill(child, SIGKILL);
        ::waitpid(child, &status, 0);
        return -1;
    }

    std::array<int, 2> pipe{};
};

} // namespace

TEST_CASE_FIXTURE(UnreadChildFixture, "log_bufferAndOutputAreFull_linesAreLeftOutAndNobodyWaits")
{
    const int code = run([] {
        configureLog(LogLevel::Info, LogOutput::StandardOutput);
        for (int i = 0; i < floodLines; ++i) {
            log(LogLevel::Info, "probe", {{"number", i}});
        }
    });
    CHECK(code == 0);
}
