#include "httpobjectstore.h"

#include "vmlist.h"

#include <base/json.h>
#include <http/clientsession.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace Wasabistair::Platform {

namespace {

using Json = nlohmann::json;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t maxAnswerBytes = 16 * maxValueBytes;

std::string objectPath(const std::string &key)
{
    std::string encoded;
    Poco::URI::encode(key, "?#%&", encoded);
    return "/v1/objects/" + encoded;
}

std::string toEtag(Version version)
{
    return "\"" + std::to_string(version) + "\"";
}

Version versionFromEtag(const std::string &etag)
{
    Version version = noVersion;
    if (etag.size() > 2) {
        std::from_chars(etag.data() + 1, etag.data() + etag.size() - 1, version);
    }
    return version;
}

PlatformFailure failureOf(int status)
{
    switch (status) {
    case HTTPResponse::HTTP_NOT_FOUND:
        return PlatformFailure::NotFound;
    case HTTPResponse::HTTP_PRECONDITION_FAILED:
        return PlatformFailure::Conflict;
    case HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE:
        return PlatformFailure::TooLarge;
    case HTTPResponse::HTTP_SERVICE_UNAVAILABLE:
    case HTTPResponse::HTTP_TOO_MANY_REQUESTS:
        return PlatformFailure::Rejected;
    default:
        return PlatformFailure::MalformedAnswer;
    }
}

bool isSuccess(int status)
{
    return status == HTTPResponse::HTTP_OK || status == HTTPResponse::HTTP_CREATED || status == HTTPResponse::HTTP_NOT_MODIFIED;
}

} // namespace

struct HttpObjectStore::Call {
    CallKind kind;
    std::string method;
    std::string path;
    std::string key;
    std::string body;
    std::string ifMatch;
    bool ifNoneMatch = false;
    int extraTimeoutMs = 0;
};

struct HttpObjectStore::Answer {
    int status = 0;
    std::string body;
    Version version = noVersion;
};

std::string_view toString(CallKind kind)
{
    static constexpr std::array<std::string_view, callKindCount> names = {"get", "put", "remove", "watch", "list", "vms"};
    return names.at(static_cast<std::size_t>(kind));
}

HttpObjectStore::HttpObjectStore(Base::HostPort address, int timeoutMs)
    : address_(std::move(address))
    , timeoutMs_(timeoutMs)
{}

std::uint64_t HttpObjectStore::calls(CallKind kind) const
{
    return calls_.at(static_cast<std::size_t>(kind)).load(std::memory_order_relaxed);
}

std::uint64_t HttpObjectStore::bytes() const
{
    return bytes_.load(std::memory_order_relaxed);
}

Base::Result<HttpObjectStore::Answer> HttpObjectStore::perform(const Call &call)
{
    calls_.at(static_cast<std::size_t>(call.kind)).fetch_add(1, std::memory_order_relaxed);
    bytes_.fetch_add(call.body.size() + headerBytesPerCall, std::memory_order_relaxed);
    bool sent = false;
    try {
        const int waitMs = timeoutMs_ + call.extraTimeoutMs;
        Http::ClientSession session(clock_);
        session.open(address_, timeoutMs_);
        session.setTimeouts(waitMs, waitMs);
        HTTPRequest request(call.method, call.path, HTTPRequest::HTTP_1_1);
        request.setHost(address_.host, address_.port);
        request.setContentLength(static_cast<std::streamsize>(call.body.size()));
        request.setKeepAlive(false);
        if (!call.ifMatch.empty()) {
            request.set("If-Match", call.ifMatch);
        }
        if (call.ifNoneMatch) {
            request.set("If-None-Match", "*");
        }
        std::ostream &out = session.sendRequest(request);
        sent = true;
        out << call.body << std::flush;
        HTTPResponse response;
        // An answer that is being received when its time is over has as long again to end; one without end is given up then.
        const Base::MonotonicMs deadline = clock_.monotonic() + waitMs + timeoutMs_;
        std::istream &in = session.receiveHead(response, deadline);
        Answer answer{response.getStatus(), {}, versionFromEtag(response.get("ETag", ""))};
        const bool isRead = session.readBody(in, maxAnswerBytes, deadline, answer.body);
        bytes_.fetch_add(answer.body.size(), std::memory_order_relaxed);
        if (answer.body.size() > maxAnswerBytes) {
            return Base::Leaf::new_error(PlatformError{PlatformFailure::TooLarge, call.key});
        }
        const bool isComplete = isRead && (!response.hasContentLength() || answer.body.size() == static_cast<std::size_t>(response.getContentLength()));
        if (!isComplete) {
            return Base::Leaf::new_error(PlatformError{PlatformFailure::OutcomeUnknown, call.key});
        }
        if (!isSuccess(answer.status)) {
            return Base::Leaf::new_error(PlatformError{failureOf(answer.status), call.key});
        }
        return answer;
    } catch (const Poco::Exception &) {
        return Base::Leaf::new_error(PlatformError{sent ? PlatformFailure::OutcomeUnknown : PlatformFailure::Unreachable, call.key});
    }
}

Base::Result<VersionedValue> HttpObjectStore::get(const std::string &key)
{
    BOOST_LEAF_AUTO(answer, perform({CallKind::Get, HTTPRequest::HTTP_GET, objectPath(key), key, {}, {}, false, 0}));
    return VersionedValue{std::move(answer.body), answer.version};
}

Base::Result<Version> HttpObjectStore::put(const std::string &key, const std::string &value, Version expected)
{
    if (value.size() > maxValueBytes) {
        return Base::Leaf::new_error(PlatformError{PlatformFailure::TooLarge, key});
    }
    const bool create = expected == noVersion;
    BOOST_LEAF_AUTO(answer, perform({CallKind::Put, HTTPRequest::HTTP_PUT, objectPath(key), key, value, create ? "" : toEtag(expected), create, 0}));
    return answer.version;
}

Base::Result<Version> HttpObjectStore::remove(const std::string &key, Version expected)
{
    BOOST_LEAF_CHECK(perform({CallKind::Remove, HTTPRequest::HTTP_DELETE, objectPath(key), key, {}, toEtag(expected), false, 0}));
    return expected;
}

Base::Result<VersionedValue> HttpObjectStore::watch(const std::string &key, Version knownVersion, int timeoutMs)
{
    const std::string query = "?watch=" + std::to_string(knownVersion) + "&timeoutMs=" + std::to_string(timeoutMs);
    BOOST_LEAF_AUTO(answer, perform({CallKind::Watch, HTTPRequest::HTTP_GET, objectPath(key) + query, key, {}, {}, false, timeoutMs}));
    if (answer.status == HTTPResponse::HTTP_NOT_MODIFIED) {
        return VersionedValue{{}, knownVersion};
    }
    return VersionedValue{std::move(answer.body), answer.version};
}

Base::Result<std::vector<std::string>> HttpObjectStore::list(const std::string &prefix)
{
    std::string encoded;
    Poco::URI::encode(prefix, "?#%&/", encoded);
    BOOST_LEAF_AUTO(answer, perform({CallKind::List, HTTPRequest::HTTP_GET, "/v1/objects?prefix=" + encoded, prefix, {}, {}, false, 0}));
    const Json json = Base::readJson(answer.body).value;
    if (!json.is_array()) {
        return Base::Leaf::new_error(PlatformError{PlatformFailure::MalformedAnswer, prefix});
    }
    std::vector<std::string> keys;
    for (const Json &key : json) {
        if (key.is_string()) {
            keys.push_back(key.get<std::string>());
        }
    }
    return keys;
}

Base::Result<VmList> HttpObjectStore::vms(Version knownVersion)
{
    const std::string query = knownVersion == noVersion ? "" : "?known=" + std::to_string(knownVersion);
    BOOST_LEAF_AUTO(answer, perform({CallKind::Vms, HTTPRequest::HTTP_GET, "/v1/vms" + query, "vms", {}, {}, false, 0}));
    if (answer.status == HTTPResponse::HTTP_NOT_MODIFIED) {
        return VmList{knownVersion, {}};
    }
    auto list = readVmList(answer.body);
    if (!list) {
        return Base::Leaf::new_error(PlatformError{PlatformFailure::MalformedAnswer, "vms"});
    }
    return std::move(*list);
}

} // namespace Wasabistair::Platform
