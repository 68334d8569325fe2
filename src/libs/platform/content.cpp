#include "content.h"

#include <base/cbor.h>
#include <steering/check.h>

#include <Poco/Crypto/DigestEngine.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace Wasabistair::Platform {

namespace {

using Json = nlohmann::json;
using Steering::ClientBlock;

constexpr std::size_t maxParts = 1024;
constexpr std::size_t maxBlocks = 2'000'000;
constexpr int firstOctetShift = 24;
constexpr std::size_t bytesPerBlock = 7;
constexpr int bitsPerByte = 8;
constexpr std::uint8_t maxPrefixLength = 32;
constexpr std::size_t maxBlocksPerPart = 100'000;

// Nesting limit; stored objects contain only lists of plain values.
constexpr int maxCborDepth = 16;

const std::string objectsPart = "objects";
const std::string blocksPrefix = "blocks/";

/// Each block is 4 bytes of address, 1 of prefix length and 2 of site index, most significant first.
void appendBlock(std::string &bytes, const ClientBlock &block, std::uint16_t site)
{
    for (int shift = firstOctetShift; shift >= 0; shift -= bitsPerByte) {
        bytes += static_cast<char>(block.address >> shift);
    }
    bytes += static_cast<char>(block.prefixLength);
    bytes += static_cast<char>(site >> bitsPerByte);
    bytes += static_cast<char>(site);
}

std::uint8_t byteAt(const std::string &bytes, std::size_t position)
{
    return static_cast<std::uint8_t>(bytes[position]);
}

bool readBlocks(const std::string &bytes, const std::vector<std::string> &sites, std::vector<ClientBlock> &blocks)
{
    if (bytes.size() % bytesPerBlock != 0) {
        return false;
    }
    for (std::size_t i = 0; i < bytes.size(); i += bytesPerBlock) {
        ClientBlock block;
        for (std::size_t j = 0; j < sizeof(block.address); ++j) {
            block.address = (block.address << bitsPerByte) | byteAt(bytes, i + j);
        }
        block.prefixLength = byteAt(bytes, i + 4);
        const std::size_t site = (std::size_t{byteAt(bytes, i + 5)} << bitsPerByte) | byteAt(bytes, i + 6);
        if (block.prefixLength > maxPrefixLength || site >= sites.size()) {
            return false;
        }
        block.site = sites[site];
        blocks.push_back(std::move(block));
    }
    return blocks.size() <= maxBlocks;
}

std::string toByteString(const std::vector<std::uint8_t> &bytes)
{
    return {bytes.begin(), bytes.end()};
}

class Encoder
{
public:
    explicit Encoder(const Steering::ObjectSet &objects)
        : objects_(objects)
    {}

    Content encode()
    {
        addPart(objectsPart, toByteString(Json::to_cbor(Steering::objectsToJson(objects_))));
        addBlocks();
        const Json manifest = {{"format", contentFormat}, {"sites", siteNames()}, {"parts", parts_}};
        content_.manifest = toByteString(Json::to_cbor(manifest));
        content_.manifestDigest = sha256Hex(content_.manifest);
        return std::move(content_);
    }

private:
    std::vector<std::string> siteNames() const
    {
        std::vector<std::string> names;
        for (const Steering::Site &site : objects_.sites) {
            names.push_back(site.name);
        }
        return names;
    }

    void addPart(const std::string &name, std::string bytes)
    {
        const std::string digest = sha256Hex(bytes);
        parts_.push_back({{"name", name}, {"digest", digest}, {"size", bytes.size()}});
        content_.parts.emplace(digest, std::move(bytes));
    }

    void addBlocks()
    {
        const std::vector<std::string> names = siteNames();
        std::vector<ClientBlock> blocks = objects_.clientBlocks;
        std::sort(blocks.begin(), blocks.end());
        std::string bytes;
        std::size_t count = 0;
        for (std::size_t i = 0; i < blocks.size(); ++i) {
            const auto site = std::find(names.begin(), names.end(), blocks[i].site) - names.begin();
            appendBlock(bytes, blocks[i], static_cast<std::uint16_t>(site));
            ++count;
            const bool lastOfOctet = i + 1 == blocks.size() || blocks[i + 1].address >> firstOctetShift != blocks[i].address >> firstOctetShift;
            if (lastOfOctet || count == maxBlocksPerPart) {
                addPart(blocksPrefix + std::to_string(blocks[i].address >> firstOctetShift), std::move(bytes));
                bytes.clear();
                count = 0;
            }
        }
    }

    const Steering::ObjectSet &objects_;
    Json parts_ = Json::array();
    Content content_;
};

Json parseCbor(const std::string &bytes)
{
    return Base::readCbor(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size(), maxCborDepth).value_or(Json());
}

/// Manifest whose format version and limits have been checked.
struct Manifest {
    std::vector<Part> parts;
    std::vector<std::string> sites;
};

Base::Result<Manifest> parseManifest(const std::string &bytes)
{
    if (bytes.size() > maxValueBytes) {
        return Base::Leaf::new_error(ContentError{ContentFailure::TooLarge, "manifest"});
    }
    const Json json = parseCbor(bytes);
    try {
        if (json.at("format").get<int>() != contentFormat) {
            return Base::Leaf::new_error(ContentError{ContentFailure::NewerFormat, "manifest"});
        }
        Manifest manifest;
        manifest.sites = json.at("sites").get<std::vector<std::string>>();
        for (const Json &part : json.at("parts")) {
            manifest.parts.push_back({part.at("name").get<std::string>(), part.at("digest").get<std::string>(), part.at("size").get<std::size_t>()});
            if (manifest.parts.back().size > maxValueBytes || manifest.parts.size() > maxParts) {
                return Base::Leaf::new_error(ContentError{ContentFailure::TooLarge, manifest.parts.back().name});
            }
        }
        return manifest;
    } catch (const Json::exception &) {
        return Base::Leaf::new_error(ContentError{ContentFailure::Corrupted, "manifest"});
    }
}

bool readObjects(const std::string &bytes, Steering::ObjectSet &set)
{
    Json objects = parseCbor(bytes);
    if (!objects.is_array()) {
        return false;
    }
    std::vector<Steering::ValidationError> faults;
    for (Json &object : objects) {
        Steering::checkSchema(object, faults);
    }
    if (!faults.empty()) {
        return false;
    }
    set = Steering::objectsFromJson(objects);
    return true;
}

} // namespace

std::string sha256Hex(const std::string &bytes)
{
    Poco::Crypto::DigestEngine engine("SHA256");
    engine.update(bytes);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

Content encodeContent(const Steering::ObjectSet &objects)
{
    return Encoder(objects).encode();
}

std::string_view toString(ContentFailure failure)
{
    static constexpr std::array<std::string_view, 5> names = {"damaged", "newer-format", "too-large", "part-missing", "invalid"};
    return names.at(static_cast<std::size_t>(failure));
}

Base::Result<std::vector<Part>> readManifest(const std::string &manifest)
{
    BOOST_LEAF_AUTO(parsed, parseManifest(manifest));
    return std::move(parsed.parts);
}

Base::Result<Steering::ObjectSet> decodeContent(const std::string &manifestBytes, const std::function<std::optional<std::string>(const Part &)> &fetch)
{
    BOOST_LEAF_AUTO(manifest, parseManifest(manifestBytes));
    Steering::ObjectSet objects;
    std::vector<ClientBlock> blocks;
    for (const Part &part : manifest.parts) {
        const auto bytes = fetch(part);
        if (!bytes) {
            return Base::Leaf::new_error(ContentError{ContentFailure::PartMissing, part.name});
        }
        if (bytes->size() != part.size || sha256Hex(*bytes) != part.digest) {
            return Base::Leaf::new_error(ContentError{ContentFailure::Corrupted, part.name});
        }
        const bool isValid = part.name == objectsPart ? readObjects(*bytes, objects) : readBlocks(*bytes, manifest.sites, blocks);
        if (!isValid) {
            return Base::Leaf::new_error(ContentError{ContentFailure::Corrupted, part.name});
        }
    }
    objects.clientBlocks = std::move(blocks);
    if (!Steering::checkObjects(objects).empty()) {
        return Base::Leaf::new_error(ContentError{ContentFailure::Invalid, ""});
    }
    return objects;
}

} // namespace Wasabistair::Platform
