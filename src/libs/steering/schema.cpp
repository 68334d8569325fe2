#include "schema.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace Wasabistair::Steering {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxSuggestionDistance = 3;
constexpr std::size_t maxNameLength = 63;
constexpr std::size_t maxListLength = 100'000;

bool isName(const std::string &name)
{
    if (name.empty() || name.size() > maxNameLength) {
        return false;
    }
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return std::all_of(name.begin(), name.end(), allowed) && name.front() != '-';
}

std::string displayText(const Json &value)
{
    constexpr std::size_t maxDisplayLength = 80;
    std::string display = value.is_string() ? value.get<std::string>() : value.dump();
    if (display.size() > maxDisplayLength) {
        display.resize(maxDisplayLength);
    }
    return display;
}

class SchemaChecker
{
public:
    SchemaChecker(std::string object, std::vector<ValidationError> &faults)
        : object_(std::move(object))
        , faults_(faults)
    {}

    void checkFields(Json &json, const std::vector<FieldSpec> &fields, const std::string &path)
    {
        rejectUnknownFields(json, fields, path);
        for (const FieldSpec &field : fields) {
            const std::string where = path + field.name;
            if (!json.contains(field.name) || json[field.name].is_null()) {
                if (field.required) {
                    add(ValidationErrorKind::MissingField, where, "", "");
                } else {
                    json[field.name] = field.defaultValue;
                }
                continue;
            }
            checkValue(json[field.name], field, where);
        }
    }

private:
    void add(ValidationErrorKind kind, const std::string &field, const std::string &given, const std::string &hint)
    {
        faults_.push_back({kind, object_, field, given, hint});
    }

    void rejectUnknownFields(const Json &json, const std::vector<FieldSpec> &fields, const std::string &path)
    {
        std::vector<std::string> names;
        for (const FieldSpec &field : fields) {
            names.push_back(field.name);
        }
        for (const auto &[key, value] : json.items()) {
            const bool isKind = path.empty() && key == "kind";
            if (isKind || std::find(names.begin(), names.end(), key) != names.end()) {
                continue;
            }
            const auto suggestion = nearestMatch(key, names);
            add(ValidationErrorKind::UnknownField, path + key, "", suggestion ? "did you mean " + *suggestion + "?" : "");
        }
    }

    void checkValue(Json &value, const FieldSpec &field, const std::string &where)
    {
        switch (field.type) {
        case FieldType::Text:
            if (!value.is_string()) {
                add(ValidationErrorKind::WrongType, where, displayText(value), "expected text");
            }
            return;
        case FieldType::Name:
        case FieldType::Reference:
            checkName(value, where);
            return;
        case FieldType::Integer:
            checkInteger(value, field, where);
            return;
        case FieldType::Time:
            if (!value.is_number_integer()) {
                add(ValidationErrorKind::BadTime, where, displayText(value), "expected a time such as 2026-12-04T10:00:00Z");
            }
            return;
        case FieldType::Boolean:
            if (!value.is_boolean()) {
                add(ValidationErrorKind::WrongType, where, displayText(value), "expected true or false");
            }
            return;
        case FieldType::TextList:
            checkTextList(value, field, where);
            return;
        case FieldType::ObjectList:
            checkObjectList(value, field, where);
            return;
        }
    }

    void checkName(const Json &value, const std::string &where)
    {
        if (!value.is_string() || !isName(value.get<std::string>())) {
            add(ValidationErrorKind::BadName, where, displayText(value), "expected 1 to 63 characters of a-z, 0-9 and -, not starting with -");
        }
    }

    void checkInteger(const Json &value, const FieldSpec &field, const std::string &where)
    {
        if (!value.is_number_integer()) {
            add(ValidationErrorKind::WrongType, where, displayText(value), "expected a whole number" + (field.unit.empty() ? "" : " of " + field.unit));
            return;
        }
        const auto number = value.get<std::int64_t>();
        if (number < field.minimum || number > field.maximum) {
            add(ValidationErrorKind::OutOfRange, where, displayText(value),
                "must be from " + std::to_string(field.minimum) + " to " + std::to_string(field.maximum));
        }
    }

    void checkTextList(const Json &value, const FieldSpec &field, const std::string &where)
    {
        const auto isText = [](const Json &item) { return item.is_string() && !item.get<std::string>().empty(); };
        if (!value.is_array() || !std::all_of(value.begin(), value.end(), isText)) {
            add(ValidationErrorKind::WrongType, where, displayText(value), "expected a list of non-empty texts");
        } else if (value.empty() && field.required) {
            add(ValidationErrorKind::MissingField, where, "", "the list is empty");
        }
    }

    void checkObjectList(Json &value, const FieldSpec &field, const std::string &where)
    {
        if (!value.is_array() || value.size() > maxListLength) {
            add(ValidationErrorKind::WrongType, where, displayText(value), "expected a list");
            return;
        }
        for (std::size_t i = 0; i < value.size(); ++i) {
            const std::string item = where + "[" + std::to_string(i) + "]";
            if (!value[i].is_object()) {
                add(ValidationErrorKind::WrongType, item, displayText(value[i]), "expected an object");
                continue;
            }
            checkFields(value[i], field.fields, item + ".");
        }
    }

    std::string object_;
    std::vector<ValidationError> &faults_;
};

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
        }
    }
    return row.back();
}

} // namespace

std::string_view toString(ValidationErrorKind kind)
{
    static constexpr std::array<std::string_view, 15> names = {
        "syntax",
        "unknown-kind",
        "unknown-field",
        "missing-field",
        "wrong-type",
        "out-of-range",
        "bad-name",
        "duplicate-name",
        "missing-reference",
        "conflict",
        "cycle",
        "not-enough-capacity",
        "bad-prefix",
        "bad-time",
        "format-not-supported",
    };
    return names.at(static_cast<std::size_t>(kind));
}

std::string objectLabel(const Json &object)
{
    const auto textOf
        = [&](const char *field) { return object.contains(field) && object[field].is_string() ? object[field].get<std::string>() : std::string("?"); };
    return textOf("kind") + "/" + textOf("name");
}

void checkSchema(Json &object, std::vector<ValidationError> &faults)
{
    if (!object.is_object()) {
        faults.push_back({ValidationErrorKind::WrongType, "?/?", "", displayText(object), "expected an object with a kind"});
        return;
    }
    const std::string label = objectLabel(object);
    if (!object.contains("kind") || !object["kind"].is_string()) {
        faults.push_back({ValidationErrorKind::MissingField, label, "kind", "", ""});
        return;
    }
    const std::string kind = object["kind"].get<std::string>();
    const KindSpec *spec = findKind(kind);
    if (!spec) {
        std::vector<std::string> names;
        for (const KindSpec &candidate : kinds()) {
            names.push_back(candidate.kind);
        }
        const auto suggestion = nearestMatch(kind, names);
        faults.push_back({ValidationErrorKind::UnknownKind, label, "kind", kind, suggestion ? "did you mean " + *suggestion + "?" : ""});
        return;
    }
    SchemaChecker(label, faults).checkFields(object, spec->fields, "");
}

std::optional<std::string> nearestMatch(std::string_view given, const std::vector<std::string> &candidates)
{
    std::optional<std::string> best;
    std::size_t bestDistance = maxSuggestionDistance + 1;
    for (const std::string &candidate : candidates) {
        const std::size_t distance = editDistance(given, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            best = candidate;
        }
    }
    return best;
}

} // namespace Wasabistair::Steering
