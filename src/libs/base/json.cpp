#include "json.h"

#include <algorithm>

namespace Wasabistair::Base {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

std::size_t skipWhitespace(std::string_view text, std::size_t position)
{
    return std::min(text.find_first_not_of(whitespace, position), text.size());
}

/// Returns the position behind the string that begins at @p position, or npos when it doesn't end.
std::size_t skipString(std::string_view text, std::size_t position)
{
    for (std::size_t i = position + 1; i < text.size(); ++i) {
        if (text[i] == '\\') {
            ++i;
        } else if (text[i] == '"') {
            return i + 1;
        }
    }
    return std::string_view::npos;
}

/// Returns the position behind the value that begins at @p position, or npos when it doesn't end.
std::size_t skipValue(std::string_view text, std::size_t position)
{
    std::size_t depth = 0;
    while (position < text.size()) {
        const char c = text[position];
        if (c == '"') {
            position = skipString(text, position);
            if (position == std::string_view::npos || depth == 0) {
                return position;
            }
            continue;
        }
        if (c == '[' || c == '{') {
            ++depth;
        } else if (c == ']' || c == '}') {
            if (depth <= 1) {
                return depth == 0 ? position : position + 1;
            }
            --depth;
        } else if (depth == 0 && (c == ',' || whitespace.find(c) != std::string_view::npos)) {
            return position;
        }
        ++position;
    }
    return depth == 0 ? position : std::string_view::npos;
}

bool isDeeperThan(std::string_view text, int maxDepth)
{
    int depth = 0;
    for (std::size_t position = 0; position < text.size();) {
        const char c = text[position];
        if (c == '"') {
            position = skipString(text, position);
            continue;
        }
        if (c == '[' || c == '{') {
            if (++depth > maxDepth) {
                return true;
            }
        } else if (c == ']' || c == '}') {
            --depth;
        }
        ++position;
    }
    return false;
}

/// Reads the parts of one object or array in order.
class Splitter
{
public:
    explicit Splitter(std::string_view text, std::size_t position = 0)
        : text_(text)
        , position_(position)
    {}

    std::optional<std::vector<JsonPart>> split()
    {
        const char open = take();
        if (open != '{' && open != '[') {
            return std::nullopt;
        }
        const char close = open == '{' ? '}' : ']';
        std::vector<JsonPart> parts;
        if (peek() == close) {
            take();
            return isAtEnd() ? std::optional(parts) : std::nullopt;
        }
        while (true) {
            JsonPart part;
            if (open == '{' && !takeKey(part.key)) {
                return std::nullopt;
            }
            if (!takeValue(part.value)) {
                return std::nullopt;
            }
            parts.push_back(part);
            const char next = take();
            if (next == close) {
                return isAtEnd() ? std::optional(parts) : std::nullopt;
            }
            if (next != ',') {
                return std::nullopt;
            }
        }
    }

    JsonPrefix splitPrefix(std::string_view stopAt)
    {
        JsonPrefix prefix;
        JsonPart part;
        if (take() != '{') {
            return prefix;
        }
        while (takeKey(part.key)) {
            peek();
            const std::size_t begin = std::min(position_, text_.size());
            const bool ends = part.key != stopAt && takeValue(part.value) && (peek() == ',' || peek() == '}');
            if (!ends) {
                prefix.rest = {part.key, text_.substr(begin)};
                return prefix;
            }
            prefix.members.push_back(part);
            if (take() != ',') {
                return prefix;
            }
        }
        return prefix;
    }

    /// Reads the members that follow a value of an object, up to the end of the text.
    std::optional<std::vector<JsonPart>> splitRemaining()
    {
        std::vector<JsonPart> members;
        char next = take();
        for (JsonPart member; next == ','; next = take()) {
            if (!takeKey(member.key) || !takeValue(member.value)) {
                return std::nullopt;
            }
            members.push_back(member);
        }
        return next == '}' && isAtEnd() ? std::optional(members) : std::nullopt;
    }

private:
    /// Returns the next character that is not white space, or 0 at the end.
    char peek()
    {
        position_ = skipWhitespace(text_, position_);
        return position_ < text_.size() ? text_[position_] : '\0';
    }

    char take()
    {
        const char c = peek();
        ++position_;
        return c;
    }

    bool isAtEnd()
    {
        peek();
        return position_ >= text_.size();
    }

    bool takeKey(std::string_view &key)
    {
        if (peek() != '"') {
            return false;
        }
        const std::size_t end = skipString(text_, position_);
        if (end == std::string_view::npos) {
            return false;
        }
        key = text_.substr(position_ + 1, end - position_ - 2);
        position_ = end;
        return take() == ':';
    }

    bool takeValue(std::string_view &value)
    {
        peek();
        const std::size_t end = skipValue(text_, position_);
        if (end == std::string_view::npos || end == position_) {
            return false;
        }
        value = text_.substr(position_, end - position_);
        position_ = end;
        return true;
    }

    const std::string_view text_;
    std::size_t position_ = 0;
};

// Bytes that are scanned, as a multiple of the size of a list, in search of the end of elements that don't end before the next one seems to
// begin. Without a limit, a writer could make the time grow with the square of the size.
constexpr std::size_t maxExtraScanFactor = 8;

/// Splits the text between the brackets of a list of objects, see splitJsonList().
class ElementSplitter
{
public:
    ElementSplitter(std::string_view text, const std::vector<std::string_view> &firstKeys)
        : text_(text)
        , extraScanBytes_(maxExtraScanFactor * text.size())
    {
        for (const std::string_view key : firstKeys) {
            quotedKeys_.push_back('"' + std::string(key) + '"');
        }
    }

    std::vector<JsonElement> split()
    {
        std::vector<JsonElement> elements;
        for (std::size_t begin = skipWhitespace(text_, 0); begin < text_.size();) {
            const std::size_t separator = findSeparator(begin);
            std::size_t end = skipElement(begin, separator);
            if (end == std::string_view::npos && separator < text_.size()) {
                // Either it is damaged, or what looks like a separator is a part of it.
                end = skipLongElement(begin);
            }
            const bool isDamaged = end == std::string_view::npos;
            end = isDamaged ? text_.find_last_not_of(whitespace, separator - 1) + 1 : end;
            elements.push_back({text_.substr(begin, end - begin), isDamaged});
            begin = skipWhitespace(text_, skipWhitespace(text_, end) + 1);
        }
        return elements;
    }

private:
    /// Returns the position of the next separator, or the end of the text.
    [[nodiscard]] std::size_t findSeparator(std::size_t from) const
    {
        for (std::size_t at = text_.find(',', from); at < text_.size(); at = text_.find(',', at + 1)) {
            if (isSeparator(at)) {
                return at;
            }
        }
        return text_.size();
    }

    /// Whether there is a comma at @p position between two objects of which the second begins with one of the keys.
    [[nodiscard]] bool isSeparator(std::size_t position) const
    {
        const std::size_t before = position == 0 ? std::string_view::npos : text_.find_last_not_of(whitespace, position - 1);
        const std::size_t open = skipWhitespace(text_, position + 1);
        if (text_[position] != ',' || before == std::string_view::npos || text_[before] != '}' || open == text_.size() || text_[open] != '{') {
            return false;
        }
        const std::string_view key = text_.substr(skipWhitespace(text_, open + 1));
        return std::any_of(quotedKeys_.begin(), quotedKeys_.end(), [key](const std::string &quoted) { return key.starts_with(quoted); });
    }

    /// Returns the end of the element at @p begin if it ends at @p separator, else npos.
    [[nodiscard]] std::size_t skipElement(std::size_t begin, std::size_t separator) const
    {
        const std::size_t end = skipValue(text_.substr(0, separator), begin);
        return end != std::string_view::npos && skipWhitespace(text_, end) == separator ? end : std::string_view::npos;
    }

    /// Returns the end of an element that contains text like a separator, else npos.
    [[nodiscard]] std::size_t skipLongElement(std::size_t begin)
    {
        if (extraScanBytes_ < text_.size() - begin) {
            return std::string_view::npos;
        }
        const std::size_t end = skipValue(text_, begin);
        extraScanBytes_ -= std::min(end, text_.size()) - begin;
        // An unmatched bracket can make the element seem to end with a later one, so it must be valid as a whole.
        const std::size_t next = end == std::string_view::npos ? end : skipWhitespace(text_, end);
        const bool isElement
            = next != std::string_view::npos && (next == text_.size() || isSeparator(next)) && nlohmann::json::accept(text_.substr(begin, end - begin));
        return isElement ? end : std::string_view::npos;
    }

    const std::string_view text_;
    std::vector<std::string> quotedKeys_;
    std::size_t extraScanBytes_ = 0;
};

} // namespace

std::string_view toString(JsonFault fault)
{
    switch (fault) {
    case JsonFault::Malformed:
        return "malformed-json";
    case JsonFault::TooDeep:
        return "nested-too-deeply";
    }
    return "unknown";
}

JsonRead readJson(std::string_view text)
{
    if (isDeeperThan(text, maxJsonDepth)) {
        return {{}, JsonFault::TooDeep};
    }
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return {{}, JsonFault::Malformed};
    }
    return {std::move(value), std::nullopt};
}

std::optional<std::vector<JsonPart>> splitJson(std::string_view text)
{
    return Splitter(text).split();
}

JsonPrefix splitJsonPrefix(std::string_view text, std::string_view stopAt)
{
    return Splitter(text).splitPrefix(stopAt);
}

std::optional<JsonList> splitJsonList(std::string_view text, std::string_view key, const std::vector<std::string_view> &firstKeys)
{
    JsonPrefix prefix = splitJsonPrefix(text, key);
    // The list's own bracket is the last one, since the members behind the list are scalars.
    const std::string_view list = prefix.rest.key == key ? prefix.rest.value : std::string_view();
    const std::size_t close = list.starts_with('[') ? list.rfind(']') : std::string_view::npos;
    auto remaining = close == std::string_view::npos ? std::nullopt : Splitter(list, close + 1).splitRemaining();
    if (!remaining) {
        return std::nullopt;
    }
    prefix.members.insert(prefix.members.end(), remaining->begin(), remaining->end());
    return JsonList{std::move(prefix.members), ElementSplitter(list.substr(1, close - 1), firstKeys).split()};
}

std::string_view findMember(const std::vector<JsonPart> &members, std::string_view key)
{
    const auto found = std::find_if(members.rbegin(), members.rend(), [key](const JsonPart &member) { return member.key == key; });
    return found == members.rend() ? std::string_view() : found->value;
}

} // namespace Wasabistair::Base
