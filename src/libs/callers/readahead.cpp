#include "readahead.h"

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

// How often a connection that waits for an answer looks for further requests.
constexpr std::int64_t lookIntervalMs = 20;
// When a caller may come back that found no thread; some requests end in that time.
constexpr std::int64_t noThreadRetryMs = 500;
// Bytes of a request that has not arrived whole; longer heads wait for their turn.
constexpr std::size_t maxWaitingBytes = 16 * 1024;

bool hasBody(const HTTPRequest &head)
{
    return requestFraming(head).framing != Http::Framing::None;
}

bool mayRunAhead(const HTTPRequest &head, const Steering::Roster &roster)
{
    const bool reads = head.getMethod() == HTTPRequest::HTTP_GET || head.getMethod() == HTTPRequest::HTTP_HEAD;
    if (!reads || hasBody(head) || !head.getKeepAlive() || !roster.manifest) {
        return false;
    }
    const Steering::RouteRule *route = Steering::findRoute(*roster.manifest, requestHost(head), requestPath(head));
    return route != nullptr && route->idempotent;
}

} // namespace

std::optional<CallerRequest> takePipelined(std::string &input, const Steering::Roster &roster, Base::MonotonicMs now)
{
    std::string rest = input;
    const auto head = Http::takeHead(rest);
    CallerRequest request;
    if (!head || !Http::parseRequest(*head, request.head) || checkRequest(request.head) || !mayRunAhead(request.head, roster)) {
        return std::nullopt;
    }
    request.facts = Adapter::decodeCallerFacts(request.head);
    request.arrivedAt = now;
    input = std::move(rest);
    return request;
}

ReadAhead::ReadAhead(PassContext &context, Http::ByteStream &stream, std::atomic<int> &threads)
    : context_(context)
    , stream_(stream)
    , threads_(threads)
{}

ReadAhead::~ReadAhead()
{
    if (pending_.empty()) {
        return;
    }
    try {
        // Requests that still run see that the caller is gone.
        stream_.socket().shutdown();
    } catch (const Poco::Exception &error) {
        Base::log(Base::LogLevel::Debug, "connection-gone", {{"cause", error.displayText()}});
    }
    while (!pending_.empty()) {
        removeFirst();
    }
}

bool ReadAhead::takeThread()
{
    if (threads_.fetch_add(1, std::memory_order_relaxed) < maxThreads) {
        return true;
    }
    giveThread();
    return false;
}

void ReadAhead::giveThread()
{
    threads_.fetch_sub(1, std::memory_order_relaxed);
}

bool ReadAhead::start()
{
    while (pending_.size() < maxAhead && takeThread()) {
        auto request = context_.roster.read([&](const Steering::Roster &roster) { return takePipelined(stream_.input(), roster, context_.clock.monotonic()); });
        if (!request) {
            giveThread();
            // The beginning of a head may become one that can be started; a whole one that can't must wait for its turn.
            const bool begun = stream_.input().find("\r\n\r\n") == std::string::npos;
            return begun && stream_.input().size() < maxWaitingBytes;
        }
        auto pending = std::make_unique<Pending>();
        pending->request = std::move(*request);
        launch(*pending);
        pending_.push_back(std::move(pending));
        context_.metrics.countReadAhead();
    }
    return false;
}

void ReadAhead::launch(Pending &pending)
{
    try {
        pending.thread = std::thread([this, &pending] { run(pending); });
    } catch (const std::system_error &error) {
        Base::log(Base::LogLevel::Warning, "no-thread", {{"request", pending.request.facts.requestId}, {"cause", error.what()}});
        pending.result = {PassEnd::NoRoom, {}, Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE, noThreadRetryMs};
        pending.done = true;
    }
}

void ReadAhead::run(Pending &pending)
{
    PassResult result;
    result.end = PassEnd::CallerGone;
    try {
        const Http::ByteStream caller(stream_.socket(), context_.clock);
        RequestPass pass(context_, pending.request, caller);
        result = pass.run();
    } catch (const std::exception &error) {
        // The caller sees a closed connection, which promises nothing.
        Base::log(Base::LogLevel::Error, "request-failed", {{"request", pending.request.facts.requestId}, {"cause", error.what()}});
    }
    const std::lock_guard lock(mutex_);
    pending.result = std::move(result);
    pending.done = true;
    ended_.notify_all();
}

bool ReadAhead::isEmpty() const
{
    return pending_.empty();
}

std::size_t ReadAhead::size() const
{
    return pending_.size();
}

void ReadAhead::waitForFirst(bool mayStart)
{
    while (true) {
        if (mayStart && stream_.isReadable()) {
            mayStart = stream_.readAvailable() == Http::IoState::Ok && start();
        }
        std::unique_lock lock(mutex_);
        if (ended_.wait_for(lock, std::chrono::milliseconds(lookIntervalMs), [this] { return pending_.front()->done; })) {
            return;
        }
    }
}

const CallerRequest &ReadAhead::firstRequest() const
{
    return pending_.front()->request;
}

const PassResult &ReadAhead::firstResult() const
{
    return pending_.front()->result;
}

void ReadAhead::removeFirst()
{
    if (pending_.front()->thread.joinable()) {
        pending_.front()->thread.join();
    }
    pending_.pop_front();
    giveThread();
}

} // namespace Wasabistair::Callers
