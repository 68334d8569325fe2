#include "generationstore.h"

namespace Wasabistair::Nodes {

using Platform::ContentError;
using Platform::ContentFailure;
using Steering::Configuration;

GenerationStore::GenerationStore()
    : configuration_(std::make_shared<const Configuration>())
{}

ApplyOutcome GenerationStore::apply(const GenerationId &candidate, const PartSource &source)
{
    const std::lock_guard loadLock(loadMutex_);
    {
        const std::lock_guard lock(mutex_);
        if (candidate.generation <= current_.generation) {
            return {ApplyStatus::NotNewer, std::nullopt};
        }
        if (refused_.contains(candidate)) {
            return {ApplyStatus::Refused, std::nullopt};
        }
    }
    ApplyOutcome outcome = decode(candidate, source);
    if (outcome.status == ApplyStatus::Refused) {
        const std::lock_guard lock(mutex_);
        refused_.insert(candidate);
    }
    return outcome;
}

ApplyOutcome GenerationStore::decode(const GenerationId &candidate, const PartSource &source)
{
    const auto manifest = source(candidate.manifestDigest);
    if (!manifest) {
        return {ApplyStatus::Incomplete, ContentError{ContentFailure::PartMissing, "manifest"}};
    }
    if (Platform::sha256Hex(*manifest) != candidate.manifestDigest) {
        // Corrupted in transit or by one peer; another source may have it intact.
        return {ApplyStatus::Incomplete, ContentError{ContentFailure::Corrupted, "manifest"}};
    }
    std::map<std::string, Bytes> parts;
    parts[candidate.manifestDigest] = std::make_shared<const std::string>(*manifest);
    const auto fetch = [&](const Platform::Part &wanted) -> std::optional<std::string> {
        auto bytes = part(wanted.digest);
        if (!bytes) {
            bytes = source(wanted.digest);
            if (bytes && Platform::sha256Hex(*bytes) != wanted.digest) {
                return std::nullopt;
            }
        }
        if (bytes) {
            parts[wanted.digest] = std::make_shared<const std::string>(*bytes);
        }
        return bytes;
    };
    auto decoded = Base::captureError<ContentError>([&] { return Platform::decodeContent(*manifest, fetch); }, ContentError{});
    if (!decoded) {
        const bool missing = decoded.error->failure == ContentFailure::PartMissing;
        return {missing ? ApplyStatus::Incomplete : ApplyStatus::Refused, decoded.error};
    }
    auto next = std::make_shared<Configuration>();
    next->generation = candidate.generation;
    next->digest = candidate.manifestDigest;
    next->objects = std::move(*decoded.value);
    next->blocks = Steering::ClientBlockMap(next->objects.clientBlocks, next->objects.sites);
    // Requests use the block map only; the list of blocks is several times as large.
    next->objects.clientBlocks = {};
    const std::lock_guard lock(mutex_);
    current_ = candidate;
    configuration_ = std::move(next);
    parts_ = std::move(parts);
    return {ApplyStatus::Applied, std::nullopt};
}

GenerationId GenerationStore::current() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

std::shared_ptr<const Configuration> GenerationStore::configuration() const
{
    const std::lock_guard lock(mutex_);
    return configuration_;
}

std::optional<std::string> GenerationStore::part(const std::string &digest) const
{
    const std::lock_guard lock(mutex_);
    const auto found = parts_.find(digest);
    return found == parts_.end() ? std::nullopt : std::optional(*found->second);
}

std::set<GenerationId> GenerationStore::refused() const
{
    const std::lock_guard lock(mutex_);
    return refused_;
}

} // namespace Wasabistair::Nodes
