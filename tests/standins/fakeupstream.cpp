#include "fakeupstream.h"

#include <base/clock.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Thread.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <thread>
#include <utility>

namespace Wasabistair::StandIns {

namespace {

using Poco::Net::HTTPResponse;

constexpr int maxThreads = 450;
constexpr int pollMs = 50;

Poco::Net::StreamSocket &socketOf(Poco::Net::HTTPServerRequest &request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

bool isClosed(Poco::Net::HTTPServerRequest &request)
{
    try {
        Poco::Net::StreamSocket &socket = socketOf(request);
        char byte = 0;
        return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) && socket.receiveBytes(&byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

std::int64_t wallMs()
{
    return Base::SystemClock().wall();
}

} // namespace

/// Holds one request's slot and releases it once: explicitly before the last byte of the answer, otherwise at the end of the scope.
class FakeUpstream::SlotGuard
{
public:
    explicit SlotGuard(FakeUpstream &upstream)
        : upstream_(upstream)
    {}
    ~SlotGuard()
    {
        release();
    }
    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;

    void release()
    {
        if (!std::exchange(released_, true)) {
            upstream_.releaseSlot();
        }
    }

private:
    FakeUpstream &upstream_;
    bool released_ = false;
};

FakeUpstream::FakeUpstream(UpstreamSettings settings)
    : settings_(std::move(settings))
    , startedAt_(Base::SystemClock().monotonic())
    , serviceMs_(settings_.serviceMs)
{
    server_ = std::make_unique<HttpServer>(
        HttpServerSettings{settings_.port, maxThreads, true}, [this](auto &request, auto &response) { handle(request, response); });
    server_->start();
}

FakeUpstream::~FakeUpstream()
{
    unresponsive_ = false;
    server_->stop();
}

std::uint16_t FakeUpstream::port() const
{
    return server_->port();
}

void FakeUpstream::setLeaving(bool leaving)
{
    leaving_ = leaving;
}

void FakeUpstream::setHidesLeaving(bool hides)
{
    hidesLeaving_ = hides;
}

void FakeUpstream::setUnresponsive(bool unresponsive)
{
    unresponsive_ = unresponsive;
}

void FakeUpstream::setServiceMs(double milliseconds)
{
    serviceMs_ = milliseconds;
}

void FakeUpstream::setCancelDetectionMs(int milliseconds)
{
    cancelDetectionMs_ = milliseconds;
}

std::vector<RunRecord> FakeUpstream::record() const
{
    const std::lock_guard lock(mutex_);
    return runRecords_;
}

UpstreamStatistics FakeUpstream::statistics() const
{
    const std::lock_guard lock(mutex_);
    return statistics_;
}

int FakeUpstream::usableSlots() const
{
    if (settings_.coldStartMs == 0) {
        return settings_.slots;
    }
    const std::int64_t age = Base::SystemClock().monotonic() - startedAt_;
    const auto warm = static_cast<int>(settings_.slots * age / settings_.coldStartMs);
    return std::clamp(warm, 1, settings_.slots);
}

FakeUpstream::Admission FakeUpstream::waitForSlot(std::unique_lock<std::mutex> &lock, Poco::Net::HTTPServerRequest &request, std::int64_t deadlineMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(deadlineMs);
    while (std::chrono::steady_clock::now() < end) {
        const auto slice = std::min(end, std::chrono::steady_clock::now() + std::chrono::milliseconds(cancelDetectionMs_));
        if (slotFreed_.wait_until(lock, slice, [this] { return running_ < usableSlots(); })) {
            return Admission::Admitted;
        }
        if (isClosed(request)) {
            return Admission::Cancelled;
        }
    }
    return isClosed(request) ? Admission::Cancelled : Admission::Shed;
}

FakeUpstream::Admission FakeUpstream::acquireSlot(Poco::Net::HTTPServerRequest &request, std::int64_t deadlineMs)
{
    std::unique_lock lock(mutex_);
    Admission admission = Admission::Admitted;
    if (running_ >= usableSlots()) {
        if (queued_ >= settings_.queue) {
            ++statistics_.shed;
            return Admission::Shed;
        }
        ++queued_;
        statistics_.peakQueued = std::max(statistics_.peakQueued, queued_);
        admission = waitForSlot(lock, request, deadlineMs);
        --queued_;
    }
    if (admission == Admission::Shed) {
        ++statistics_.shed;
    }
    if (admission != Admission::Admitted) {
        return admission;
    }
    ++running_;
    statistics_.peakRunning = std::max(statistics_.peakRunning, running_);
    return admission;
}

void FakeUpstream::releaseSlot()
{
    const std::lock_guard lock(mutex_);
    --running_;
    slotFreed_.notify_one();
}

void FakeUpstream::addStateHeader(Poco::Net::HTTPServerResponse &response) const
{
    if (leaving_ && !hidesLeaving_) {
        response.set("Upstream-State", "leaving");
    }
}

void FakeUpstream::reject(Poco::Net::HTTPServerResponse &response)
{
    addStateHeader(response);
    response.setStatusAndReason(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    response.set("Upstream-Run", "refused");
    response.setContentLength(0);
    response.send();
}

void FakeUpstream::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    {
        const std::lock_guard lock(mutex_);
        statistics_.peakConnections = std::max(statistics_.peakConnections, server_->currentConnections());
    }
    while (unresponsive_) {
        Poco::Thread::sleep(pollMs);
    }
    if (request.getURI() == "/health") {
        {
            const std::lock_guard lock(mutex_);
            ++statistics_.probes;
        }
        addStateHeader(response);
        response.setContentLength(0);
        response.send();
        return;
    }
    const std::string body{std::istreambuf_iterator<char>(request.stream()), std::istreambuf_iterator<char>()};
    const std::string declaredBytes = request.get("X-Body-Bytes", "");
    if (!declaredBytes.empty() && std::stoull(declaredBytes) != body.size()) {
        // The body was truncated in transit; such a request is not run.
        socketOf(request).shutdown();
        return;
    }
    const std::string fault = request.get("X-Fault", "");
    const std::int64_t deadline = std::stoll(request.get("Wasabistair-Deadline-Ms", "10000"));
    const Admission admission = fault == "shed" ? Admission::Shed : acquireSlot(request, deadline);
    if (admission == Admission::Shed) {
        reject(response);
    }
    if (admission != Admission::Admitted) {
        return;
    }
    SlotGuard slot(*this);
    if (isClosed(request)) {
        // The request was cancelled while it was queued.
        return;
    }
    run(request, response, body, slot);
}

void FakeUpstream::run(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::string &body, SlotGuard &slot)
{
    const std::string fault = request.get("X-Fault", "");
    if (fault == "reset-before-answer") {
        slot.release();
        socketOf(request).shutdown();
        return;
    }
    RunRecord record{request.get("X-Request-Id", ""), request.getMethod(), wallMs(), 0, false};
    std::size_t index = 0;
    {
        const std::lock_guard lock(mutex_);
        ++statistics_.ran;
        index = runRecords_.size();
        runRecords_.push_back(record);
    }
    const bool completed = serveFor(request, std::stod(request.get("X-Service-Ms", std::to_string(serviceMs_.load()))));
    {
        const std::lock_guard lock(mutex_);
        runRecords_[index].end = wallMs();
        runRecords_[index].completed = completed;
        statistics_.cancelled += completed ? 0 : 1;
    }
    if (!completed) {
        return;
    }
    if (fault == "reset-after-run") {
        slot.release();
        socketOf(request).shutdown();
        return;
    }
    while (fault == "silent" && !isClosed(request)) {
        Poco::Thread::sleep(pollMs);
    }
    answer(request, response, body, slot);
}

bool FakeUpstream::serveFor(Poco::Net::HTTPServerRequest &request, double milliseconds)
{
    using Duration = std::chrono::steady_clock::duration;
    const auto wanted = std::chrono::duration<double, std::milli>(milliseconds);
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration_cast<Duration>(wanted);
    while (true) {
        const auto left = end - std::chrono::steady_clock::now();
        if (left.count() <= 0) {
            return true;
        }
        const auto slice = std::min<Duration>(left, std::chrono::milliseconds(cancelDetectionMs_));
        std::this_thread::sleep_for(slice);
        if (isClosed(request)) {
            return false;
        }
    }
}

void FakeUpstream::answer(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response, const std::string &body, SlotGuard &slot)
{
    const std::string fault = request.get("X-Fault", "");
    addStateHeader(response);
    response.set("X-Request-Id", request.get("X-Request-Id", ""));
    response.set("X-Server", settings_.name);
    response.set("X-Received-Bytes", std::to_string(body.size()));
    const auto size = static_cast<std::size_t>(std::stoull(request.get("X-Answer-Bytes", "64")));
    std::string content = "id=" + request.get("X-Request-Id", "") + ";";
    content.resize(std::max(size, content.size()), '.');
    if (fault == "cut-chunked" || request.has("X-Chunked")) {
        response.setChunkedTransferEncoding(true);
    } else {
        response.setContentLength(static_cast<std::streamsize>(content.size()));
    }
    std::ostream &out = response.send();
    if (fault == "cut-body" || fault == "cut-chunked") {
        out << content.substr(0, content.size() / 2) << std::flush;
        slot.release();
        socketOf(request).shutdown();
        return;
    }
    out.write(content.data(), static_cast<std::streamsize>(content.size() - 1));
    // A client that has read the last byte may send its next request at once, so the slot must be free by then.
    slot.release();
    out << content.back() << std::flush;
}

} // namespace Wasabistair::StandIns
