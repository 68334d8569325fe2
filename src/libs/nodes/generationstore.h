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

/// Identifies a generation in the head object and in heartbeats.
struct GenerationId {
    std::uint64_t generation = 0;
    std::string manifestDigest;

    auto operator<=>(const GenerationId &) const = default;
};

enum class ApplyStatus {
    Applied,
    /// Not newer than the generation in force.
    NotNewer,
    /// Rejected as corrupted, too large, of a newer format or with faults; the generation in force stays.
    Refused,
    /// Some part could not be fetched; the caller should retry.
    Incomplete,
};

struct ApplyOutcome {
    ApplyStatus status = ApplyStatus::NotNewer;
    std::optional<Platform::ContentError> error;
};

/// Fetches a manifest or part by digest from the platform or from peers.
using PartSource = std::function<std::optional<std::string>(const std::string &digest)>;

/// The generation in force, with its encoded parts for peers that request them. The generation never decreases.
class GenerationStore
{
public:
    GenerationStore();

    /// Fetches the missing parts and puts @p candidate in force if it is newer and complete.
    ApplyOutcome apply(const GenerationId &candidate, const PartSource &source);
    [[nodiscard]] GenerationId current() const;
    [[nodiscard]] std::shared_ptr<const Steering::Configuration> configuration() const;
    /// Bytes of a manifest or part of the generation in force.
    [[nodiscard]] std::optional<std::string> part(const std::string &digest) const;
    /// Rejected generations; these are not retried.
    [[nodiscard]] std::set<GenerationId> refused() const;

private:
    using Bytes = std::shared_ptr<const std::string>;

    ApplyOutcome decode(const GenerationId &candidate, const PartSource &source);

    mutable std::mutex mutex_;
    // Serializes the loading of candidates from several sources.
    std::mutex loadMutex_;
    GenerationId current_;
    std::shared_ptr<const Steering::Configuration> configuration_;
    std::map<std::string, Bytes> parts_;
    std::set<GenerationId> refused_;
};

} // namespace Wasabistair::Nodes
