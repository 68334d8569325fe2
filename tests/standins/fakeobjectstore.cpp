#include "fakeobjectstore.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <base/clock.h>

#include <chrono>

namespace Wasabistair::StandIns {

namespace {

using Json = nlohmann::json;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Each watch of each VM occupies a thread while it waits. Large soak runs have several hundred.
constexpr int maxThreads = 512;
// How long the connection of a dropped call stays open: longer than any client waits.
constexpr int droppedCallMs = 40'000;
constexpr int pollMs = 20;

void closeConnection(HTTPServerRequest &request)
{
    dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().shutdown();
}

std::string parameter(const Poco::URI &uri, const std::string &name)
{
    for (const auto &[key, value] : uri.getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

} // namespace

FakeObjectStore::FakeObjectStore(std::size_t pageSize)
    : pageSize_(pageSize)
    , server_(std::make_unique<HttpServer>(
          HttpServerSettings{0, maxThreads, true}, [this](HTTPServerRequest &request, HTTPServerResponse &response) { handle(request, response); }))
{
    server_->start();
}

FakeObjectStore::~FakeObjectStore()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        changed_.notify_all();
    }
    server_->stop();
}

std::uint16_t FakeObjectStore::port() const
{
    return server_->port();
}

void FakeObjectStore::change(const std::string &kind, const std::string &name, bool removed, const Json &spec)
{
    ++revision_;
    if (removed) {
        objects_[kind].erase(name);
    } else {
        objects_[kind][name] = {revision_, spec};
    }
    history_.push_back({revision_, kind, name, removed, spec, watchEventsSkipped_});
    if (era_ != 0) {
        copies_.push_back({Base::monotonicMicroseconds() / 1'000, revision_, objects_});
    }
    changed_.notify_all();
}

void FakeObjectStore::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard lock(mutex_);
    change(kind, name, false, spec);
}

void FakeObjectStore::putRaw(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(mutex_);
    const std::string placeholder = "raw spec " + std::to_string(rawSpecs_.size());
    rawSpecs_[placeholder] = spec;
    change(kind, name, false, placeholder);
}

void FakeObjectStore::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(mutex_);
    change(kind, name, true, {});
}

void FakeObjectStore::setFaults(const Faults &faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
    ++watchResets_;
    changed_.notify_all();
}

void FakeObjectStore::setSilent(bool silent)
{
    const std::lock_guard lock(mutex_);
    silent_ = silent;
}

void FakeObjectStore::holdBackWatchEvents()
{
    const std::lock_guard lock(mutex_);
    watchEventsHeld_ = true;
}

void FakeObjectStore::releaseWatchEvents()
{
    const std::lock_guard lock(mutex_);
    watchEventsHeld_ = false;
    changed_.notify_all();
}

void FakeObjectStore::skipWatchEvents()
{
    const std::lock_guard lock(mutex_);
    watchEventsSkipped_ = true;
}

void FakeObjectStore::holdBackLists(const std::string &kind)
{
    const std::lock_guard lock(mutex_);
    heldListKind_ = kind;
}

void FakeObjectStore::releaseLists()
{
    const std::lock_guard lock(mutex_);
    heldListKind_.clear();
    changed_.notify_all();
}

void FakeObjectStore::freezeStaleReads()
{
    const std::lock_guard lock(mutex_);
    staleObjects_ = objects_;
    staleRevision_ = revision_;
    frozenPages_.reset();
}

void FakeObjectStore::freezePages(Pages pages)
{
    freezeStaleReads();
    const std::lock_guard lock(mutex_);
    frozenPages_ = pages;
}

void FakeObjectStore::thawStaleReads()
{
    const std::lock_guard lock(mutex_);
    staleObjects_.reset();
    frozenPages_.reset();
}

void FakeObjectStore::compactHistory()
{
    const std::lock_guard lock(mutex_);
    watchEventsHeld_ = false;
    history_.clear();
    compactedRevision_ = revision_;
    ++watchResets_;
    changed_.notify_all();
}

void FakeObjectStore::stateEras()
{
    const std::lock_guard lock(mutex_);
    era_ = 1;
    copies_.push_back({Base::monotonicMicroseconds() / 1'000, revision_, objects_});
}

void FakeObjectStore::restoreOlder(std::int64_t ageMs)
{
    const std::int64_t before = Base::monotonicMicroseconds() / 1'000 - ageMs;
    restore([before](const Copy &copy) { return copy.atMs <= before; });
}

void FakeObjectStore::restoreRevision(std::uint64_t revision)
{
    restore([revision](const Copy &copy) { return copy.revision <= revision; });
}

void FakeObjectStore::restore(const std::function<bool(const Copy &)> &suits)
{
    const std::lock_guard lock(mutex_);
    while (copies_.size() > 1 && !suits(copies_.back())) {
        copies_.pop_back();
    }
    objects_ = copies_.back().objects;
    revision_ = copies_.back().revision;
    compactedRevision_ = std::min(compactedRevision_, revision_);
    staleObjects_.reset();
    std::erase_if(history_, [this](const Change &change) { return change.revision > revision_; });
    ++era_;
    ++watchResets_;
    changed_.notify_all();
}

bool FakeObjectStore::contains(const std::string &kind, const std::string &name) const
{
    const std::lock_guard lock(mutex_);
    const auto found = objects_.find(kind);
    return found != objects_.end() && found->second.contains(name);
}

int FakeObjectStore::listCalls(const std::string &kind) const
{
    const std::lock_guard lock(mutex_);
    const auto found = listCalls_.find(kind);
    return found == listCalls_.end() ? 0 : found->second;
}

bool FakeObjectStore::hasWaitingWatch(const std::string &kind) const
{
    const std::lock_guard lock(mutex_);
    const auto found = waitingWatches_.find(kind);
    return found != waitingWatches_.end() && found->second > 0;
}

int FakeObjectStore::droppedCalls() const
{
    const std::lock_guard lock(mutex_);
    return droppedCalls_;
}

std::uint64_t FakeObjectStore::revision() const
{
    const std::lock_guard lock(mutex_);
    return revision_;
}

int FakeObjectStore::latestStateCalls() const
{
    const std::lock_guard lock(mutex_);
    return latestCalls_;
}

void FakeObjectStore::answer(HTTPServerResponse &response, int status, const Json &body) const
{
    std::string text = body.dump();
    for (const auto &[placeholder, spec] : rawSpecs_) {
        const std::string quoted = Json(placeholder).dump();
        for (std::size_t at = text.find(quoted); at != std::string::npos; at = text.find(quoted, at + spec.size())) {
            text.replace(at, quoted.size(), spec);
        }
    }
    response.setStatus(static_cast<HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    if (era_ != 0) {
        response.set("Store-Era", std::to_string(era_));
    }
    response.sendBuffer(text.data(), text.size());
}

Json FakeObjectStore::objectJson(const std::string &name, const Object &object) const
{
    return {{"metadata", {{"name", name}, {"revision", object.revision}, {"created", 1}, {"finalizers", Json::array()}, {"deleting", false}}},
        {"spec", object.spec}, {"status", nullptr}};
}

bool FakeObjectStore::dropIfSilent()
{
    std::unique_lock lock(mutex_);
    const bool drops = silent_;
    if (drops) {
        ++droppedCalls_;
        changed_.wait_for(lock, std::chrono::milliseconds(droppedCallMs), [this] { return stopping_; });
    }
    return drops;
}

void FakeObjectStore::handle(HTTPServerRequest &request, HTTPServerResponse &response)
{
    if (dropIfSilent()) {
        closeConnection(request);
        return;
    }
    const Poco::URI uri(request.getURI());
    std::vector<std::string> segments;
    uri.getPathSegments(segments);
    {
        const std::lock_guard lock(mutex_);
        const bool limited = faults_.rateLimited > 0;
        faults_.rateLimited -= limited ? 1 : 0;
        if (faults_.busy || limited) {
            answer(response, limited ? HTTPResponse::HTTP_TOO_MANY_REQUESTS : HTTPResponse::HTTP_SERVICE_UNAVAILABLE, Json::object());
            return;
        }
    }
    const bool stale = parameter(uri, "serializable") == "1";
    if (!stale) {
        const std::lock_guard lock(mutex_);
        ++latestCalls_;
    }
    const std::string kind = segments.size() > 1 ? segments[1] : "";
    const std::string name = segments.size() > 2 ? segments[2] : "";
    if (request.getMethod() != Poco::Net::HTTPRequest::HTTP_GET) {
        write(kind, name, request, response);
    } else if (const std::string since = parameter(uri, "watch"); !since.empty()) {
        watch(kind, std::stoull(since), std::stoi(parameter(uri, "wait-ms")), stale, request, response);
    } else if (name.empty()) {
        list(kind, parameter(uri, "after"), stale, response);
    } else {
        const std::lock_guard lock(mutex_);
        const auto found = objects_[kind].find(name);
        const bool exists = found != objects_[kind].end();
        answer(response, exists ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_NOT_FOUND, exists ? objectJson(name, found->second) : Json::object());
    }
}

bool FakeObjectStore::isFrozenPage(const std::string &after) const
{
    return staleObjects_ && (!frozenPages_ || (*frozenPages_ == Pages::First) == after.empty());
}

void FakeObjectStore::list(const std::string &kind, const std::string &after, bool stale, HTTPServerResponse &response)
{
    std::unique_lock lock(mutex_);
    ++listCalls_[kind];
    changed_.wait(lock, [&] { return stopping_ || heldListKind_ != kind; });
    Json items = Json::array();
    bool more = false;
    const bool frozen = stale && isFrozenPage(after);
    const auto &objects = frozen ? (*staleObjects_)[kind] : objects_[kind];
    for (auto entry = objects.upper_bound(after); entry != objects.end(); ++entry) {
        if (items.size() == pageSize_) {
            more = true;
            break;
        }
        items.push_back(objectJson(entry->first, entry->second));
    }
    answer(response, HTTPResponse::HTTP_OK, {{"items", items}, {"has-more", more}, {"as-of", frozen ? staleRevision_ : revision_}});
}

void FakeObjectStore::watch(const std::string &kind, std::uint64_t since, int waitMs, bool stale, HTTPServerRequest &request, HTTPServerResponse &response)
{
    std::unique_lock lock(mutex_);
    const auto isStale = [&] { return stale && staleObjects_ && !frozenPages_; };
    const auto isVisible = [&](const Change &change) { return !watchEventsHeld_ && !change.skipped && !(isStale() && change.revision > staleRevision_); };
    const std::uint64_t watchResets = watchResets_;
    if (era_ != 0 && since > revision_) {
        answer(response, HTTPResponse::HTTP_GONE, Json::object());
        return;
    }
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    while (!stopping_ && std::chrono::steady_clock::now() < until) {
        Json events = Json::array();
        for (const Change &change : history_) {
            if (change.kind == kind && change.revision > since && isVisible(change)) {
                events.push_back({{"removed", change.removed}, {"object", objectJson(change.name, {change.revision, change.spec})}});
            }
        }
        if (watchResets != watchResets_) {
            closeConnection(request);
            return;
        }
        if (!events.empty()) {
            const bool gone = since < compactedRevision_;
            answer(response, gone ? HTTPResponse::HTTP_GONE : HTTPResponse::HTTP_OK, {{"events", events}, {"as-of", isStale() ? staleRevision_ : revision_}});
            return;
        }
        ++waitingWatches_[kind];
        changed_.wait_for(lock, std::chrono::milliseconds(pollMs));
        --waitingWatches_[kind];
    }
    answer(response, HTTPResponse::HTTP_OK, {{"events", Json::array()}, {"as-of", watchEventsHeld_ || isStale() ? since : revision_}});
}

void FakeObjectStore::write(const std::string &kind, const std::string &name, HTTPServerRequest &request, HTTPServerResponse &response)
{
    std::string text;
    Poco::StreamCopier::copyToString(request.stream(), text);
    const Json body = Json::parse(text, nullptr, false);
    const std::lock_guard lock(mutex_);
    const bool creates = request.getMethod() == Poco::Net::HTTPRequest::HTTP_POST;
    const std::string target = creates ? body["metadata"]["name"].get<std::string>() : name;
    const auto found = objects_[kind].find(target);
    const bool exists = found != objects_[kind].end();
    const std::uint64_t expected = creates || !body.is_object() ? 0 : body["metadata"].value("revision", std::uint64_t{0});
    if (creates == exists || (exists && expected != 0 && expected != found->second.revision)) {
        answer(response, HTTPResponse::HTTP_CONFLICT, exists ? objectJson(target, found->second) : Json::object());
        return;
    }
    change(kind, target, false, body["spec"]);
    if (faults_.loseWriteAnswers) {
        faults_.loseWriteAnswers = false;
        closeConnection(request);
        return;
    }
    answer(response, HTTPResponse::HTTP_OK, objectJson(target, objects_[kind][target]));
}

} // namespace Wasabistair::StandIns
