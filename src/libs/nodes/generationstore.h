#pragma once

#include <platform/content.h>
#include <platform/publication.h>
#include <steering/routingtable.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace Wasabistair::Nodes {

/// A generation as it is named in the head and in heartbeats.
struct GenerationId {
    std::uint64_t generation = 0;
    std::string manifestDigest;

    auto operator<=>(const GenerationId &) const = default;
};

enum class TakeStatus {
    Taken,
    /// Not above the one in force.
    NotNewer,
    /// Damaged, too large, of a newer format or with faults; the one in force stays.
    Refused,
    /// Some part could not be fetched; to be tried again.
    Incomplete,
};

struct TakeOutcome {
    TakeStatus status = TakeStatus::NotNewer;
    std::optional<Platform::ContentError> error;
};

/// Fetches a manifest or part by digest from the platform or from peers.
using PartSource = std::function<std::optional<std::string>(const std::string &digest)>;

/// The generation in force, with the bytes it came from for peers that ask. Never goes back.
class GenerationStore
{
public:
    GenerationStore();

    /// Fetches what is missing and takes @p candidate in force if it is newer and whole.
    TakeOutcome take(const GenerationId &candidate, const PartSource &source);
    [[nodiscard]] GenerationId current() const;
    [[nodiscard]] std::shared_ptr<const Steering::Configuration> configuration() const;
    /// Bytes of a manifest or part of the generation in force.
    [[nodiscard]] std::optional<std::string> part(const std::string &digest) const;
    /// Generations refused for good.
    [[nodiscard]] std::set<GenerationId> refused() const;

private:
    using Bytes = std::shared_ptr<const std::string>;

    TakeOutcome decode(const GenerationId &candidate, const PartSource &source);

    mutable std::mutex mutex_;
    // Held during take(), so that two sources do not load at once.
    std::mutex takeMutex_;
    GenerationId current_;
    std::shared_ptr<const Steering::Configuration> configuration_;
    std::map<std::string, Bytes> parts_;
    std::set<GenerationId> refused_;
};

} // namespace Wasabistair::Nodes
