#pragma once

#include "content.h"
#include "objectstore.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Wasabistair::Platform {

/// One entry of the head's history.
struct HeadEntry {
    std::uint64_t generation = 0;
    std::string manifestDigest;
    /// Random token of the publisher, by which it recognises its own write when the answer was lost.
    std::string token;
    /// Time of publication by the publisher's wall clock, in milliseconds.
    std::int64_t wall = 0;

    auto operator<=>(const HeadEntry &) const = default;
};

/// The only mutable object of a publication. The last entry of its history is the accepted generation.
struct Head {
    static constexpr std::size_t maxHistory = 32;

    std::vector<HeadEntry> history;

    [[nodiscard]] const HeadEntry &current() const
    {
        return history.back();
    }
    bool operator==(const Head &) const = default;
};

struct VersionedHead {
    Head head;
    Version version = noVersion;
};

extern const std::string headKey;

[[nodiscard]] std::string partKey(const std::string &digest);
[[nodiscard]] std::string encodeHead(const Head &head);
[[nodiscard]] std::optional<Head> decodeHead(const std::string &bytes);

/// Reads the head from the store. Before the first publication it has version noVersion and an empty history.
[[nodiscard]] Base::Result<VersionedHead> readHead(ObjectStore &store);

enum class PublishStatus {
    /// The head names this content; every VM will apply it.
    Accepted,
    /// Another publication was accepted since the head was read; this one has no effect.
    Conflict,
    /// Every attempt failed, and the head may or may not have been updated.
    Unknown,
    /// The platform failed, and the head was certainly not updated; nothing was published.
    NotPublished,
};

struct PublishOutcome {
    PublishStatus status = PublishStatus::NotPublished;
    /// The accepted generation, or the generation that the head has now if another publication won the race.
    std::uint64_t generation = 0;
    /// Bytes of parts and manifest that were written, without the head.
    std::size_t bytesWritten = 0;
};

/// Publishes @p content on top of @p base, the head against which the operator's change was checked.
/// @p token must be unique to this call; @p publishedAtMs is the publisher's wall clock. After a lost answer
/// the head is read back before the update is repeated.
[[nodiscard]] PublishOutcome publish(
    ObjectStore &store, const Content &content, const VersionedHead &base, const std::string &token, std::int64_t publishedAtMs);

/// Removes parts and manifests that no entry of the head's history refers to; returns how many.
[[nodiscard]] Base::Result<std::size_t> pruneContent(ObjectStore &store);

} // namespace Wasabistair::Platform
