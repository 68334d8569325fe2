#include "fakeplatform.h"

#include <base/clock.h>
#include <platform/vmlist.h>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Thread.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <iterator>

namespace Wasabistair::StandIns {

namespace {

using Json = nlohmann::json;
using Poco::Net::HTTPResponse;

constexpr int maxThreads = 600;
constexpr int pollMs = 50;

std::string quoted(Platform::Version version)
{
    return "\"" + std::to_string(version) + "\"";
}

void answer(Poco::Net::HTTPServerResponse &response, HTTPResponse::HTTPStatus status, const std::string &body, Platform::Version version = 0)
{
    response.setStatusAndReason(status);
    if (version != Platform::noVersion) {
        response.set("ETag", quoted(version));
    }
    response.setContentLength(static_cast<std::streamsize>(body.size()));
    response.send() << body << std::flush;
}

std::string queryValue(const std::string &query, const std::string &name)
{
    for (const auto &[key, value] : Poco::URI("http://x/?" + query).getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return "";
}

std::string bodyOf(Poco::Net::HTTPServerRequest &request)
{
    return {std::istreambuf_iterator<char>(request.stream()), std::istreambuf_iterator<char>()};
}

void dropConnection(Poco::Net::HTTPServerRequest &request)
{
    static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().shutdown();
}

} // namespace

FakePlatform::FakePlatform(std::uint16_t port)
{
    server_ = std::make_unique<HttpServer>(HttpServerSettings{port, maxThreads, false}, [this](auto &request, auto &response) { handle(request, response); });
    server_->start();
}

FakePlatform::~FakePlatform()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    server_->stop();
}

std::uint16_t FakePlatform::port() const
{
    return server_->port();
}

void FakePlatform::setFaults(const PlatformFaults &faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
    changed_.notify_all();
}

bool FakePlatform::isStopping() const
{
    const std::lock_guard lock(mutex_);
    return stopping_;
}

PlatformFaults FakePlatform::faults() const
{
    const std::lock_guard lock(mutex_);
    return faults_;
}

void FakePlatform::setVms(const std::vector<Steering::Vm> &vms)
{
    const std::lock_guard lock(mutex_);
    const std::int64_t now = Base::SystemClock().monotonic();
    lists_.push_back({now, {nextVersion_++, vms}});
}

std::map<std::string, std::uint64_t> FakePlatform::calls() const
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

std::map<std::string, Platform::VersionedValue> FakePlatform::objects() const
{
    const std::lock_guard lock(mutex_);
    return objects_;
}

void FakePlatform::putDirectly(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    objects_[key] = {value, nextVersion_++};
    changed_.notify_all();
}

void FakePlatform::count(const std::string &kind)
{
    const std::lock_guard lock(mutex_);
    ++calls_[kind];
}

void FakePlatform::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const std::string target = request.getURI();
    const std::size_t mark = target.find('?');
    std::string path;
    Poco::URI::decode(target.substr(0, mark), path);
    const std::string query = mark == std::string::npos ? "" : target.substr(mark + 1);
    if (path.starts_with("/control/")) {
        handleControl(path, request, response);
        return;
    }
    const PlatformFaults currentFaults = faults();
    if (currentFaults.down) {
        answer(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "");
        return;
    }
    while (faults().silent && !isStopping()) {
        Poco::Thread::sleep(pollMs);
    }
    if (currentFaults.delayMs > 0) {
        Poco::Thread::sleep(currentFaults.delayMs);
    }
    const std::string objectPrefix = "/v1/objects/";
    if (path.starts_with(objectPrefix)) {
        handleObject(path.substr(objectPrefix.size()), query, request, response);
    } else if (path == "/v1/objects") {
        handleList(query, response);
    } else if (path == "/v1/vms") {
        handleVms(query, response);
    } else {
        answer(response, HTTPResponse::HTTP_NOT_FOUND, "");
    }
}

void FakePlatform::handleControl(const std::string &path, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const std::string body = bodyOf(request);
    if (path == "/control/faults") {
        const Json json = Json::parse(body, nullptr, false);
        setFaults(
            {json.value("down", false), json.value("silent", false), json.value("delayMs", 0), json.value("loseWriteAnswers", 0), json.value("listLagMs", 0)});
    } else if (path == "/control/vms") {
        const auto list = Platform::vmListFromJson(Json{{"version", 1}, {"vms", Json::parse(body, nullptr, false)}});
        if (!list) {
            answer(response, HTTPResponse::HTTP_BAD_REQUEST, "");
            return;
        }
        setVms(list->vms);
    } else if (path == "/control/calls") {
        answer(response, HTTPResponse::HTTP_OK, Json(calls()).dump());
        return;
    }
    answer(response, HTTPResponse::HTTP_OK, "{}");
}

void FakePlatform::handleObject(
    const std::string &key, const std::string &query, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    if (request.getMethod() != "GET") {
        handleWrite(key, request, response);
        return;
    }
    const std::string watch = queryValue(query, "watch");
    if (watch.empty()) {
        count("get");
        const auto all = objects();
        const auto found = all.find(key);
        if (found == all.end()) {
            answer(response, HTTPResponse::HTTP_NOT_FOUND, "");
        } else {
            answer(response, HTTPResponse::HTTP_OK, found->second.value, found->second.version);
        }
        return;
    }
    count("watch");
    const Platform::Version known = std::stoull(watch);
    const Platform::VersionedValue value = awaitChange(key, known, std::stoi("0" + queryValue(query, "timeoutMs")));
    if (faults().down) {
        answer(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "");
    } else if (value.version == known) {
        answer(response, HTTPResponse::HTTP_NOT_MODIFIED, "", known);
    } else {
        answer(response, HTTPResponse::HTTP_OK, value.value, value.version);
    }
}

Platform::VersionedValue FakePlatform::awaitChange(const std::string &key, Platform::Version known, int timeoutMs)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::milliseconds(timeoutMs), [&] { return stopping_ || faults_.down || objects_[key].version != known; });
    return objects_[key];
}

void FakePlatform::handleWrite(const std::string &key, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const bool remove = request.getMethod() == "DELETE";
    count(remove ? "remove" : "put");
    const std::string body = bodyOf(request);
    if (body.size() > Platform::maxValueBytes) {
        answer(response, HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "");
        return;
    }
    Platform::Version version = Platform::noVersion;
    bool loseAnswer = false;
    {
        const std::lock_guard lock(mutex_);
        const auto found = objects_.find(key);
        const Platform::Version current = found == objects_.end() ? Platform::noVersion : found->second.version;
        const bool create = request.has("If-None-Match");
        const bool matches = create ? current == Platform::noVersion : request.get("If-Match", "") == quoted(current);
        if (!matches) {
            version = Platform::noVersion;
        } else if (remove) {
            version = current;
            objects_.erase(key);
        } else {
            version = nextVersion_++;
            objects_[key] = {body, version};
        }
        changed_.notify_all();
        if (faults_.loseWriteAnswers > 0) {
            --faults_.loseWriteAnswers;
            loseAnswer = true;
        }
    }
    if (loseAnswer) {
        dropConnection(request);
        return;
    }
    if (version == Platform::noVersion) {
        answer(response, HTTPResponse::HTTP_PRECONDITION_FAILED, "");
    } else {
        answer(response, HTTPResponse::HTTP_OK, "", version);
    }
}

void FakePlatform::handleList(const std::string &query, Poco::Net::HTTPServerResponse &response)
{
    count("list");
    const std::string prefix = queryValue(query, "prefix");
    Json keys = Json::array();
    for (const auto &[key, value] : objects()) {
        if (key.starts_with(prefix) && value.version != Platform::noVersion) {
            keys.push_back(key);
        }
    }
    answer(response, HTTPResponse::HTTP_OK, keys.dump());
}

void FakePlatform::handleVms(const std::string &query, Poco::Net::HTTPServerResponse &response)
{
    count("vms");
    Platform::VmList visible;
    {
        const std::lock_guard lock(mutex_);
        const std::int64_t newestVisible = Base::SystemClock().monotonic() - faults_.vmListLagMs;
        for (const ListVersion &entry : lists_) {
            if (entry.since <= newestVisible) {
                visible = entry.list;
            }
        }
    }
    if (queryValue(query, "known") == std::to_string(visible.version)) {
        answer(response, HTTPResponse::HTTP_NOT_MODIFIED, "");
    } else {
        answer(response, HTTPResponse::HTTP_OK, Platform::vmListToJson(visible).dump());
    }
}

} // namespace Wasabistair::StandIns
