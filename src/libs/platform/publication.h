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
    /// Random token of the publisher, by which it recognises its own write after a lost answer.
    std::string token;
    /// Publisher's wall clock in milliseconds.
    std::int64_t wall = 0;

    auto operator<=>(const HeadEntry &) const = default;
};

/// The one mutable object of a publication. Its last history entry is the accepted generation.
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

/// The head in the store; version noVersion and an empty history when nothing was ever published.
[[nodiscard]] Base::Result<VersionedHead> readHead(ObjectStore &store);

enum class PublishStatus {
    /// The head names this content: it was accepted and will come into force everywhere.
    Accepted,
    /// Somebody else published since the head was read; nothing of ours is in force.
    Raced,
    /// The platform failed for good; the head may or may not have been updated.
    Unknown,
    /// The platform failed before the head was touched; nothing was published.
    NotPublished,
};

struct PublishOutcome {
    PublishStatus status = PublishStatus::NotPublished;
    /// Generation that was accepted (Accepted) or that is in the head now (Raced).
    std::uint64_t generation = 0;
    /// Bytes written, head excluded.
    std::size_t bytesWritten = 0;
};

/// Publishes @p content on top of @p base, the head that the operator's check was made against.
/// @p token must be unique to this call; @p wall is the publisher's clock in milliseconds. Lost answers are read back; no call is repeated blindly.
[[nodiscard]] PublishOutcome publish(ObjectStore &store, const Content &content, const VersionedHead &base, const std::string &token, std::int64_t wall);

/// Removes parts and manifests that no entry of the head's history names; returns how many.
[[nodiscard]] Base::Result<std::size_t> pruneContent(ObjectStore &store);

} // namespace Wasabistair::Platform
