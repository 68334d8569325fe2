#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>
#include <vector>

/// Reading JSON that another process wrote.
namespace Wasabistair::Base {

/// Deepest nesting that is accepted. The formats of this system and of its platform need fewer than ten levels.
constexpr int maxJsonDepth = 64;

enum class JsonFault {
    /// Bytes that are no JSON value: wrong syntax, text that is not UTF-8, or a number out of range.
    Malformed,
    TooDeep,
};

[[nodiscard]] std::string_view toString(JsonFault fault);

/// Result of reading a value: the value, or why there is none.
struct JsonRead {
    nlohmann::json value;
    std::optional<JsonFault> fault;

    bool operator==(const JsonRead &) const = default;
};

/// Parses @p text as one JSON value; never throws. Values nested deeper than maxJsonDepth are rejected before they are built, because
/// copying, comparing and writing a value recurse once per level and would exhaust the stack of the thread.
[[nodiscard]] JsonRead readJson(std::string_view text);

/// A member of a JSON object, or an element of a JSON array, which has no key.
struct JsonPart {
    /// As written, without quotes.
    std::string_view key;
    std::string_view value;

    auto operator<=>(const JsonPart &) const = default;
};

/// Splits a JSON object or array into the texts of its parts without parsing them, so that a part that can't be read doesn't affect the
/// others. Returns nullopt if @p text is neither, ends early or has anything behind it. The parts point into @p text.
[[nodiscard]] std::optional<std::vector<JsonPart>> splitJson(std::string_view text);

/// The first members of an object of which the rest may be damaged.
struct JsonPrefix {
    std::vector<JsonPart> members;
    /// The member at which reading stopped, with all text from the beginning of its value; without a key when there is none.
    JsonPart rest;

    auto operator<=>(const JsonPrefix &) const = default;
};

/// Splits off members of an object up to the first whose value doesn't end where one can, or up to the member @p stopAt.
[[nodiscard]] JsonPrefix splitJsonPrefix(std::string_view text, std::string_view stopAt = {});

/// Text of an element of a list.
struct JsonElement {
    std::string_view text;
    /// Whether the text has brackets or quotes that don't match. Such an element can only be read up to there.
    bool isDamaged = false;

    auto operator<=>(const JsonElement &) const = default;
};

/// An object with a list of objects that different writers have written.
struct JsonList {
    /// The other members of the object.
    std::vector<JsonPart> members;
    std::vector<JsonElement> elements;

    auto operator<=>(const JsonList &) const = default;
};

/// Splits the object @p text, of which the member @p key is a list of objects and all other members are scalars. An element with brackets or
/// quotes that don't match doesn't affect the others: the next one begins where an object that has one of @p firstKeys as its first member
/// follows another object. Takes time proportional to the size of @p text. Returns nullopt if the rest of the object can't be split.
[[nodiscard]] std::optional<JsonList> splitJsonList(std::string_view text, std::string_view key, const std::vector<std::string_view> &firstKeys);

/// Returns the text of the member @p key; empty when there is none. The last one counts if there are several, as in a parser.
[[nodiscard]] std::string_view findMember(const std::vector<JsonPart> &members, std::string_view key);

} // namespace Wasabistair::Base
