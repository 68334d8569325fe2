#pragma once

#include "objectstore.h"

#include <steering/objects.h>
#include <steering/schema.h>

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Wasabistair::Platform {

/// Version of the encoding of manifests and parts. A VM rejects any other version.
constexpr int contentFormat = 1;

/// One immutable piece of a configuration, named by the SHA-256 of its bytes (hex).
struct Part {
    std::string name;
    std::string digest;
    std::size_t size = 0;

    auto operator<=>(const Part &) const = default;
};

/// A configuration in its stored form: a manifest that refers to parts by digest.
/// Client blocks are split into parts by their first octet, so that a change transfers only the affected parts.
struct Content {
    std::string manifest;
    std::string manifestDigest;
    /// Bytes of each part by digest.
    std::map<std::string, std::string> parts;

    bool operator==(const Content &) const = default;
};

[[nodiscard]] std::string sha256Hex(const std::string &bytes);

[[nodiscard]] Content encodeContent(const Steering::ObjectSet &objects);

enum class ContentFailure {
    Corrupted,
    NewerFormat,
    TooLarge,
    /// A part could not be fetched at present.
    PartMissing,
    /// The content was decoded, but its objects violate a rule of the configuration.
    Invalid,
};

[[nodiscard]] std::string_view toString(ContentFailure failure);

struct ContentError {
    ContentFailure failure = ContentFailure::Corrupted;
    std::string part;

    auto operator<=>(const ContentError &) const = default;
};

/// Returns the parts that @p manifest refers to. Fails with ContentError if it is corrupted, has another format version or exceeds a size limit.
[[nodiscard]] Base::Result<std::vector<Part>> readManifest(const std::string &manifest);

/// Decodes and checks a whole configuration; fails with ContentError. @p fetch returns the bytes of a part, or nothing if it is unavailable.
[[nodiscard]] Base::Result<Steering::ObjectSet> decodeContent(
    const std::string &manifest, const std::function<std::optional<std::string>(const Part &)> &fetch);

} // namespace Wasabistair::Platform
