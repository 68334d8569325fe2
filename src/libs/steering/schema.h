#pragma once

#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wasabistair::Steering {

enum class FieldType {
    Text,
    Name,
    Reference,
    Integer,
    Time,
    Boolean,
    TextList,
    ObjectList,
};

/// Declares one field of an object, for checkSchema(), the readers of objects and the reference in docs/objects.md.
struct FieldSpec {
    std::string name = {};
    FieldType type = FieldType::Text;
    bool required = false;
    nlohmann::json defaultValue = {};
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::string unit = {};
    std::string referenceKind = {};
    std::string help = {};
    std::vector<FieldSpec> fields = {};
};

/// Declares one kind of object.
struct KindSpec {
    std::string kind;
    std::string help;
    std::vector<FieldSpec> fields;
};

[[nodiscard]] const std::vector<KindSpec> &kinds();
[[nodiscard]] const KindSpec *findKind(std::string_view kind);

/// Kind of a validation error.
enum class ValidationErrorKind {
    Syntax,
    UnknownKind,
    UnknownField,
    MissingField,
    WrongType,
    OutOfRange,
    BadName,
    DuplicateName,
    MissingReference,
    Conflict,
    Cycle,
    NotEnoughCapacity,
    BadPrefix,
    BadTime,
    FormatNotSupported,
};

[[nodiscard]] std::string_view toString(ValidationErrorKind kind);

/// One validation error in a set of objects. @c object is "Kind/name"; @c hint says what is expected or suggests a correction.
struct ValidationError {
    ValidationErrorKind kind = ValidationErrorKind::Syntax;
    std::string object;
    std::string field;
    std::string given;
    std::string hint;

    auto operator<=>(const ValidationError &) const = default;
};

/// Checks one object against the schema of its kind and fills in defaults in place. Appends every error to @p faults.
void checkSchema(nlohmann::json &object, std::vector<ValidationError> &faults);

/// "Kind/name" of an object, as used in error reports; "?" stands for a missing part.
[[nodiscard]] std::string objectLabel(const nlohmann::json &object);

/// The candidate with the smallest edit distance to @p given, or nothing if all are farther away than maxSuggestionDistance (schema.cpp).
[[nodiscard]] std::optional<std::string> nearestMatch(std::string_view given, const std::vector<std::string> &candidates);

} // namespace Wasabistair::Steering
