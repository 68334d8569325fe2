#include "publication.h"

#include <base/json.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Wasabistair::Platform {

namespace {

using Json = nlohmann::json;

constexpr int maxAttempts = 5;
const std::string contentPrefix = "wasabistair/content/";

bool isOutcomeUnknown(PlatformFailure failure)
{
    return failure == PlatformFailure::OutcomeUnknown;
}

/// Stores a part or manifest under its digest. An object that exists already has the same bytes.
bool storePart(ObjectStore &store, const std::string &digest, const std::string &bytes)
{
    for (int i = 0; i < maxAttempts; ++i) {
        const auto outcome = tryStore([&] { return store.put(partKey(digest), bytes, noVersion); });
        if (outcome || outcome.error->failure == PlatformFailure::Conflict) {
            return true;
        }
        if (outcome.error->failure == PlatformFailure::TooLarge) {
            return false;
        }
    }
    return false;
}

const HeadEntry *findToken(const Head &head, const std::string &token)
{
    const auto found = std::find_if(head.history.begin(), head.history.end(), [&](const HeadEntry &entry) { return entry.token == token; });
    return found == head.history.end() ? nullptr : &*found;
}

class Publisher
{
public:
    Publisher(ObjectStore &store, const Content &content, const VersionedHead &base, const std::string &token, std::int64_t publishedAtMs)
        : store_(store)
        , content_(content)
        , base_(base)
        , token_(token)
        , publishedAtMs_(publishedAtMs)
    {}

    PublishOutcome publish()
    {
        if (!storeContent()) {
            return outcome(PublishStatus::NotPublished, 0);
        }
        return updateHead();
    }

private:
    PublishOutcome outcome(PublishStatus status, std::uint64_t generation) const
    {
        return {status, generation, bytesWritten_};
    }

    bool storeContent()
    {
        std::set<std::string> storedDigests;
        if (!base_.head.history.empty()) {
            collectParts(base_.head.current().manifestDigest, storedDigests);
        }
        for (const auto &[digest, bytes] : content_.parts) {
            if (storedDigests.contains(digest)) {
                continue;
            }
            if (!storePart(store_, digest, bytes)) {
                return false;
            }
            bytesWritten_ += bytes.size();
        }
        bytesWritten_ += content_.manifest.size();
        return storePart(store_, content_.manifestDigest, content_.manifest);
    }

    void collectParts(const std::string &manifestDigest, std::set<std::string> &storedDigests)
    {
        const auto manifest = tryStore([&] { return store_.get(partKey(manifestDigest)); });
        if (!manifest) {
            return;
        }
        const auto parts = Base::captureError<ContentError>([&] { return readManifest(manifest.value->value); }, ContentError{});
        if (!parts) {
            return;
        }
        for (const Part &part : *parts.value) {
            storedDigests.insert(part.digest);
        }
    }

    Head nextHead() const
    {
        Head next = base_.head;
        const std::uint64_t generation = next.history.empty() ? 1 : next.current().generation + 1;
        next.history.push_back({generation, content_.manifestDigest, token_, publishedAtMs_});
        if (next.history.size() > Head::maxHistory) {
            next.history.erase(next.history.begin());
        }
        return next;
    }

    PublishOutcome updateHead()
    {
        const Head next = nextHead();
        bool mayHaveTakenEffect = false;
        for (int i = 0; i < maxAttempts; ++i) {
            const auto written = tryStore([&] { return store_.put(headKey, encodeHead(next), base_.version); });
            if (written) {
                return outcome(PublishStatus::Accepted, next.current().generation);
            }
            mayHaveTakenEffect = mayHaveTakenEffect || isOutcomeUnknown(written.error->failure);
            const auto current = tryStore([&] { return readHead(store_); });
            if (!current) {
                continue;
            }
            if (const HeadEntry *own = findToken(current.value->head, token_)) {
                return outcome(PublishStatus::Accepted, own->generation);
            }
            if (current.value->version != base_.version) {
                return outcome(PublishStatus::Conflict, current.value->head.current().generation);
            }
        }
        return outcome(mayHaveTakenEffect ? PublishStatus::Unknown : PublishStatus::NotPublished, 0);
    }

    ObjectStore &store_;
    const Content &content_;
    const VersionedHead &base_;
    const std::string &token_;
    const std::int64_t publishedAtMs_;
    std::size_t bytesWritten_ = 0;
};

} // namespace

const std::string headKey = "wasabistair/head";

std::string partKey(const std::string &digest)
{
    return contentPrefix + digest;
}

std::string encodeHead(const Head &head)
{
    Json history = Json::array();
    for (const HeadEntry &entry : head.history) {
        history.push_back({{"generation", entry.generation}, {"manifest", entry.manifestDigest}, {"token", entry.token}, {"wall", entry.wall}});
    }
    return Json{{"format", contentFormat}, {"history", history}}.dump();
}

std::optional<Head> decodeHead(const std::string &bytes)
{
    try {
        const Json json = Base::readJson(bytes).value;
        Head head;
        for (const Json &entry : json.at("history")) {
            head.history.push_back({entry.at("generation").get<std::uint64_t>(), entry.at("manifest").get<std::string>(), entry.at("token").get<std::string>(),
                entry.value("wall", std::int64_t{0})});
        }
        return head.history.empty() ? std::nullopt : std::optional(head);
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

Base::Result<VersionedHead> readHead(ObjectStore &store)
{
    const auto value = tryStore([&] { return store.get(headKey); });
    if (!value) {
        if (value.error->failure == PlatformFailure::NotFound) {
            return VersionedHead{};
        }
        return Base::Leaf::new_error(*value.error);
    }
    const auto head = decodeHead(value.value->value);
    if (!head) {
        return Base::Leaf::new_error(PlatformError{PlatformFailure::MalformedAnswer, headKey});
    }
    return VersionedHead{*head, value.value->version};
}

PublishOutcome publish(ObjectStore &store, const Content &content, const VersionedHead &base, const std::string &token, std::int64_t publishedAtMs)
{
    return Publisher(store, content, base, token, publishedAtMs).publish();
}

Base::Result<std::size_t> pruneContent(ObjectStore &store)
{
    BOOST_LEAF_AUTO(keys, store.list(contentPrefix));
    // The keys are listed before the head is read, so content of a publication in progress is either newer
    // than the listing or referred to by the head. Old parts that it reuses are the exception; publish()
    // writes those again.
    BOOST_LEAF_AUTO(head, readHead(store));
    std::set<std::string> kept;
    for (const HeadEntry &entry : head.head.history) {
        kept.insert(partKey(entry.manifestDigest));
        BOOST_LEAF_AUTO(manifest, store.get(partKey(entry.manifestDigest)));
        BOOST_LEAF_AUTO(parts, readManifest(manifest.value));
        for (const Part &part : parts) {
            kept.insert(partKey(part.digest));
        }
    }
    std::size_t removed = 0;
    for (const std::string &key : keys) {
        if (kept.contains(key)) {
            continue;
        }
        BOOST_LEAF_AUTO(value, store.get(key));
        BOOST_LEAF_CHECK(store.remove(key, value.version));
        ++removed;
    }
    return removed;
}

} // namespace Wasabistair::Platform
