#include "platformstore.h"

#include <nlohmann/json.hpp>

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <algorithm>
#include <chrono>

namespace Wasabistair::Review {

namespace {

using Json = nlohmann::json;
using Poco::Net::HTTPResponse;

constexpr std::size_t pageSize = 50;
// Each VM keeps up to five connections open, most of them in a watch.
constexpr int maxThreads = 64;
constexpr std::int64_t maxWaitMs = 30'000;

std::string quoted(const std::string &text)
{
    return Json(text).dump();
}

std::string objectText(const std::string &name, std::uint64_t revision, std::uint64_t created, const std::string &spec)
{
    return "{\"metadata\":{\"name\":" + quoted(name) + ",\"revision\":" + std::to_string(revision) + ",\"created\":" + std::to_string(created)
        + R"(,"finalizers":[],"deleting":false},"spec":)" + spec + ",\"status\":null}";
}

std::uint64_t numberOr(const std::map<std::string, std::string> &query, const std::string &name, std::uint64_t defaultValue)
{
    const auto found = query.find(name);
    return found == query.end() || found->second.empty() ? defaultValue : std::stoull(found->second);
}

} // namespace

PlatformStore::PlatformStore()
    : server_(std::make_unique<StandIns::HttpServer>(
        StandIns::HttpServerSettings{0, maxThreads, true}, [this](auto &request, auto &response) { handle(request, response); }))
{
    server_->start();
}

PlatformStore::~PlatformStore()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    server_->stop();
}

std::uint16_t PlatformStore::port() const
{
    return server_->port();
}

std::uint64_t PlatformStore::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(mutex_);
    return change(kind, name, false, spec);
}

void PlatformStore::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    change(kind, name, true, "null");
}

std::uint64_t PlatformStore::change(const std::string &kind, const std::string &name, bool removed, const std::string &spec)
{
    auto &objects = objects_[kind];
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    if (removed ? !exists : exists && found->second.spec == spec) {
        return revision_;
    }
    ++revision_;
    const std::uint64_t created = exists ? found->second.created : revision_;
    const Object object{revision_, created, removed ? found->second.spec : spec};
    if (removed) {
        objects.erase(name);
    } else {
        objects[name] = object;
    }
    history_.push_back({revision_, kind, name, removed, object});
    changed_.notify_all();
    return revision_;
}

void PlatformStore::setSilent(bool silent)
{
    const std::lock_guard lock(mutex_);
    silent_ = silent;
}

bool PlatformStore::dropIfSilent()
{
    std::unique_lock lock(mutex_);
    const bool dropped = silent_;
    changed_.wait(lock, [&] { return !dropped || stopping_; });
    return dropped;
}

PlatformStore::Answer PlatformStore::list(const std::string &kind, const std::string &after)
{
    const std::lock_guard lock(mutex_);
    const auto &objects = objects_[kind];
    std::string items;
    std::size_t count = 0;
    auto object = objects.upper_bound(after);
    for (; object != objects.end() && count < pageSize; ++object, ++count) {
        items += (count > 0 ? "," : "") + objectText(object->first, object->second.revision, object->second.created, object->second.spec);
    }
    const std::string more = object != objects.end() ? "true" : "false";
    return {HTTPResponse::HTTP_OK, "{\"items\":[" + items + "],\"has-more\":" + more + ",\"as-of\":" + std::to_string(revision_) + "}"};
}

PlatformStore::Answer PlatformStore::watch(const std::string &kind, std::uint64_t since, std::int64_t waitMs)
{
    std::unique_lock lock(mutex_);
    const auto concerns = [&](const Change &entry) { return entry.kind == kind && entry.revision > since; };
    changed_.wait_for(
        lock, std::chrono::milliseconds(std::min(waitMs, maxWaitMs)), [&] { return stopping_ || std::any_of(history_.begin(), history_.end(), concerns); });
    std::string events;
    for (const Change &entry : history_) {
        if (concerns(entry)) {
            events += std::string(events.empty() ? "" : ",") + "{\"removed\":" + (entry.removed ? "true" : "false")
                + ",\"object\":" + objectText(entry.name, entry.revision, entry.object.created, entry.object.spec) + "}";
        }
    }
    return {HTTPResponse::HTTP_OK, "{\"events\":[" + events + "],\"as-of\":" + std::to_string(revision_) + "}"};
}

PlatformStore::Answer PlatformStore::read(const std::string &kind, const std::string &name, const std::map<std::string, std::string> &query)
{
    if (name.empty() && query.contains("watch")) {
        return watch(kind, numberOr(query, "watch", 0), static_cast<std::int64_t>(numberOr(query, "wait-ms", 0)));
    }
    if (name.empty()) {
        const auto after = query.find("after");
        return list(kind, after == query.end() ? "" : after->second);
    }
    const std::lock_guard lock(mutex_);
    const auto &objects = objects_[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
        return {HTTPResponse::HTTP_NOT_FOUND, "{}"};
    }
    return {HTTPResponse::HTTP_OK, objectText(name, found->second.revision, found->second.created, found->second.spec)};
}

PlatformStore::Answer PlatformStore::write(const std::string &method, const std::string &kind, const std::string &path, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const Json metadata = json.is_object() ? json.value("metadata", Json::object()) : Json::object();
    const std::string name = path.empty() ? metadata.value("name", "") : path;
    if (name.empty() || (method != "DELETE" && !json.contains("spec"))) {
        return {HTTPResponse::HTTP_BAD_REQUEST, "{}"};
    }
    const std::lock_guard lock(mutex_);
    auto &objects = objects_[kind];
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    if (method != "POST" && !exists) {
        return {HTTPResponse::HTTP_NOT_FOUND, "{}"};
    }
    const bool conflict = method == "POST" ? exists : metadata.contains("revision") && metadata["revision"] != found->second.revision;
    if (conflict) {
        return {HTTPResponse::HTTP_CONFLICT, objectText(name, found->second.revision, found->second.created, found->second.spec)};
    }
    const bool removed = method == "DELETE";
    const std::uint64_t revision = change(kind, name, removed, removed ? "null" : json["spec"].dump());
    return {HTTPResponse::HTTP_OK, removed ? "{}" : objectText(name, revision, objects[name].created, objects[name].spec)};
}

void PlatformStore::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const Poco::URI uri(request.getURI());
    std::vector<std::string> segments;
    uri.getPathSegments(segments);
    std::map<std::string, std::string> query;
    for (const auto &[name, value] : uri.getQueryParameters()) {
        query[name] = value;
    }
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    if (dropIfSilent()) {
        return;
    }
    Answer answer{HTTPResponse::HTTP_NOT_FOUND, "{}"};
    if (segments.size() >= 2 && segments.front() == "objects") {
        const std::string name = segments.size() > 2 ? segments[2] : "";
        answer = request.getMethod() == "GET" ? read(segments[1], name, query) : write(request.getMethod(), segments[1], name, body);
    }
    response.setStatus(static_cast<HTTPResponse::HTTPStatus>(answer.status));
    response.setContentType("application/json");
    response.sendBuffer(answer.body.data(), answer.body.size());
}

} // namespace Wasabistair::Review
