#include "pipelinedrequests.h"

#include "requestcheck.h"

#include <base/log.h>
#include <http/messagehead.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>

#include <chrono>
#include <system_error>

namespace Wasabistair::Callers {

namespace {

using Poco::Net::HTTPRequest;

// How often a connection that waits for an answer checks for further requests.
constexpr std::int64_t pollIntervalMs = 20;
// Retry-After of requests rejected because no thread could be started; some running requests end in this time.
constexpr std::int64_t noThreadRetryAfterMs = 500;
// Largest incomplete head that is still read ahead; a longer one is read only when the requests before it are answered.
constexpr std::size_t maxPartialHeadBytes = 16 * 1024;

bool hasBody(const HTTPRequest &head)
{
    return requestFraming(head).framing != Http::Framing::None;
}

bool mayRunConcurrently(const HTTPRequest &head, const Steering::RoutingSnapshot &snapshot)
{
    const bool reads = head.getMethod() == HTTPRequest::HTTP_GET || head.getMethod() == HTTPRequest::HTTP_HEAD;
    if (!reads || hasBody(head) || !head.getKeepAlive() || !snapshot.manifest) {
        return false;
    }
    const Steering::RouteRule *route = Steering::findRoute(*snapshot.manifest, requestHost(head), requestPath(head));
    return route != nullptr && route->idempotent;
}

} // namespace

std::optional<CallerRequest> takePipelined(std::string &input, const Steering::RoutingSnapshot &snapshot, Base::MonotonicMs now)
{
    std::string rest = input;
    const auto head = Http::takeHead(rest);
    CallerRequest request;
    if (!head || !Http::parseRequest(*head, request.head) || checkRequest(request.head) || !mayRunConcurrently(request.head, snapshot)) {
        return std::nullopt;
    }
    request.metadata = Adapter::decodeRequestMetadata(request.head);
    request.arrivedAt = now;
    input = std::move(rest);
    return request;
}

PipelinedRequests::PipelinedRequests(DispatchContext &context, Http::ByteStream &stream, std::atomic<int> &threads)
    : context_(context)
    , stream_(stream)
    , threads_(threads)
{}

PipelinedRequests::~PipelinedRequests()
{
    if (pending_.empty()) {
        return;
    }
    try {
        // Makes the requests that still run detect that the caller has disconnected.
        stream_.socket().shutdown();
    } catch (const Poco::Exception &error) {
        Base::log(Base::LogLevel::Debug, "connection-shutdown-failed", {{"cause", error.displayText()}});
    }
    while (!pending_.empty()) {
        removeFirst();
    }
}

bool PipelinedRequests::acquireThread()
{
    if (threads_.fetch_add(1, std::memory_order_relaxed) < maxThreads) {
        return true;
    }
    releaseThread();
    return false;
}

void PipelinedRequests::releaseThread()
{
    threads_.fetch_sub(1, std::memory_order_relaxed);
}

bool PipelinedRequests::startAvailable()
{
    while (pending_.size() < maxConcurrent && acquireThread()) {
        auto request = context_.snapshot.read(
            [&](const Steering::RoutingSnapshot &snapshot) { return takePipelined(stream_.input(), snapshot, context_.clock.monotonic()); });
        if (!request) {
            releaseThread();
            // An incomplete head may still become a request that can be started; a complete one that can't be must wait for its turn.
            const bool incomplete = stream_.input().find("\r\n\r\n") == std::string::npos;
            return incomplete && stream_.input().size() < maxPartialHeadBytes;
        }
        auto pending = std::make_unique<Pending>();
        pending->request = std::move(*request);
        launch(*pending);
        pending_.push_back(std::move(pending));
        context_.metrics.countReadAhead();
    }
    return false;
}

void PipelinedRequests::launch(Pending &pending)
{
    try {
        pending.thread = std::thread([this, &pending] { run(pending); });
    } catch (const std::system_error &error) {
        Base::log(Base::LogLevel::Warning, "thread-start-failed", {{"request", pending.request.metadata.requestId}, {"cause", error.what()}});
        pending.result = {DispatchOutcome::Overloaded, {}, Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE, noThreadRetryAfterMs};
        pending.done = true;
    }
}

void PipelinedRequests::run(Pending &pending)
{
    const Http::ByteStream caller(stream_.socket(), context_.clock);
    DispatchResult result = dispatch(context_, pending.request, caller);
    const std::lock_guard lock(mutex_);
    pending.result = std::move(result);
    pending.done = true;
    finished_.notify_all();
}

bool PipelinedRequests::isEmpty() const
{
    return pending_.empty();
}

std::size_t PipelinedRequests::size() const
{
    return pending_.size();
}

void PipelinedRequests::waitForFirst(bool mayStart)
{
    while (true) {
        if (mayStart && stream_.isReadable()) {
            mayStart = stream_.readAvailable() == Http::IoState::Ok && startAvailable();
        }
        std::unique_lock lock(mutex_);
        if (finished_.wait_for(lock, std::chrono::milliseconds(pollIntervalMs), [this] { return pending_.front()->done; })) {
            return;
        }
    }
}

const CallerRequest &PipelinedRequests::firstRequest() const
{
    return pending_.front()->request;
}

const DispatchResult &PipelinedRequests::firstResult() const
{
    return pending_.front()->result;
}

void PipelinedRequests::removeFirst()
{
    if (pending_.front()->thread.joinable()) {
        pending_.front()->thread.join();
    }
    pending_.pop_front();
    releaseThread();
}

} // namespace Wasabistair::Callers
