#pragma once

#include "requestdispatcher.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace Wasabistair::Callers {

/// Removes the next request from @p input if it may run concurrently with those before it: a complete head of a GET or HEAD request without a body, on an
/// idempotent route, that keeps the connection open. Otherwise @p input is unchanged.
[[nodiscard]] std::optional<CallerRequest> takePipelined(std::string &input, const Steering::RoutingSnapshot &snapshot, Base::MonotonicMs now);

/// Pipelined requests of one connection: those read while an earlier one is still unanswered. They run concurrently, each on its own thread, and are
/// answered in the order in which they arrived. All public methods are called by the connection's thread.
class PipelinedRequests
{
public:
    /// Maximum number of requests of one connection that run concurrently with the first.
    static constexpr std::size_t maxConcurrent = 4;
    /// Maximum number of threads for pipelined requests in the process. When all are in use, requests of a connection are served one after the other.
    static constexpr int maxThreads = 64;

    /// @p threads: number of threads for pipelined requests that all connections use together.
    PipelinedRequests(DispatchContext &context, Http::ByteStream &stream, std::atomic<int> &threads);
    /// Shuts the connection down if requests are unanswered, and waits until they have ended.
    ~PipelinedRequests();
    PipelinedRequests(const PipelinedRequests &) = delete;
    PipelinedRequests &operator=(const PipelinedRequests &) = delete;

    /// Starts the requests that the stream's input holds. Returns whether to call it again after more input has arrived: false when a limit is reached or the
    /// next request must wait for its turn.
    bool startAvailable();
    [[nodiscard]] bool isEmpty() const;
    [[nodiscard]] std::size_t size() const;
    /// Waits until the first request has ended; starts requests that arrive meanwhile if @p mayStart.
    void waitForFirst(bool mayStart);
    [[nodiscard]] const CallerRequest &firstRequest() const;
    [[nodiscard]] const DispatchResult &firstResult() const;
    void removeFirst();

private:
    struct Pending {
        CallerRequest request;
        DispatchResult result;
        bool done = false;
        std::thread thread;
    };

    /// Starts the thread of @p pending; without a thread the request is rejected.
    void launch(Pending &pending);
    void run(Pending &pending);
    [[nodiscard]] bool acquireThread();
    void releaseThread();

    DispatchContext &context_;
    Http::ByteStream &stream_;
    std::atomic<int> &threads_;
    mutable std::mutex mutex_;
    std::condition_variable finished_;
    std::deque<std::unique_ptr<Pending>> pending_;
};

} // namespace Wasabistair::Callers
