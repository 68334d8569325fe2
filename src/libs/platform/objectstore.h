#pragma once

#include <base/attempt.h>
#include <steering/vm.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The platform's object API: objects with versions, conditional updates, watches, and the list of VMs.
namespace Wasabistair::Platform {

enum class PlatformFailure {
    /// No connection; nothing was sent.
    Unreachable,
    /// Sent, but no answer came: a write may have taken effect.
    OutcomeUnknown,
    /// The version is not the expected one.
    Conflict,
    NotFound,
    /// The platform refused because of its rate or an outage of its own; nothing took effect.
    Refused,
    TooLarge,
    /// The answer could not be understood.
    BadAnswer,
};

[[nodiscard]] std::string_view toString(PlatformFailure failure);

struct PlatformError {
    PlatformFailure failure = PlatformFailure::Unreachable;
    std::string key;

    auto operator<=>(const PlatformError &) const = default;
};

using Version = std::uint64_t;

/// Expected version of an object that must not exist yet.
constexpr Version noVersion = 0;
/// Largest value that the platform holds, in bytes.
constexpr std::size_t maxValueBytes = 1'000'000;

struct VersionedValue {
    std::string value;
    Version version = noVersion;

    auto operator<=>(const VersionedValue &) const = default;
};

/// The platform's list of VMs. It lags behind the truth; a higher version is later.
struct VmList {
    Version version = noVersion;
    std::vector<Steering::Vm> vms;

    bool operator==(const VmList &) const = default;
};

/// Narrow interface to the platform. All methods block and fail with PlatformError.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    [[nodiscard]] virtual Base::Result<VersionedValue> get(const std::string &key) = 0;
    /// Writes if the object's version is @p expected (noVersion: must not exist); returns the new version.
    [[nodiscard]] virtual Base::Result<Version> put(const std::string &key, const std::string &value, Version expected) = 0;
    /// Removes if the object's version is @p expected; returns that version.
    [[nodiscard]] virtual Base::Result<Version> remove(const std::string &key, Version expected) = 0;
    /// Returns as soon as the version differs from @p known, or the unchanged object after @p timeoutMs.
    [[nodiscard]] virtual Base::Result<VersionedValue> watch(const std::string &key, Version known, int timeoutMs) = 0;
    /// Keys that begin with @p prefix, ordered.
    [[nodiscard]] virtual Base::Result<std::vector<std::string>> list(const std::string &prefix) = 0;
    /// The list, or an empty one of version @p known if it has not changed since.
    [[nodiscard]] virtual Base::Result<VmList> vms(Version known = noVersion) = 0;
};

/// Runs one call of the store and keeps its failure.
template<typename F>
auto tryStore(F &&call)
{
    return Base::attempt<PlatformError>(std::forward<F>(call), PlatformError{PlatformFailure::BadAnswer, ""});
}

} // namespace Wasabistair::Platform
