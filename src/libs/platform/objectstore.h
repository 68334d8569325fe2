#pragma once

#include <base/captureerror.h>
#include <steering/vm.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// The platform's object API: objects with versions, conditional updates, watches, and the list of VMs.
namespace Wasabistair::Platform {

enum class PlatformFailure {
    /// No connection was established; nothing was sent.
    Unreachable,
    /// The request was sent, but no complete answer was received; a write may have taken effect.
    OutcomeUnknown,
    /// The object's version differs from the expected one.
    Conflict,
    NotFound,
    /// The platform rejected the call because of its rate limit or an outage of its own; nothing took effect.
    Rejected,
    TooLarge,
    /// The answer is malformed or has an unexpected status.
    MalformedAnswer,
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
/// Largest value that the platform stores, in bytes.
constexpr std::size_t maxValueBytes = 1'000'000;

struct VersionedValue {
    std::string value;
    Version version = noVersion;

    auto operator<=>(const VersionedValue &) const = default;
};

/// The platform's list of VMs. It lags behind the actual state; a higher version is newer.
struct VmList {
    Version version = noVersion;
    std::vector<Steering::Vm> vms;

    bool operator==(const VmList &) const = default;
};

/// Interface to the platform's object API. All methods block and fail with PlatformError.
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    [[nodiscard]] virtual Base::Result<VersionedValue> get(const std::string &key) = 0;
    /// Writes the object if its version is @p expected (noVersion: it must not exist); returns the new version.
    [[nodiscard]] virtual Base::Result<Version> put(const std::string &key, const std::string &value, Version expected) = 0;
    /// Removes the object if its version is @p expected; returns that version.
    [[nodiscard]] virtual Base::Result<Version> remove(const std::string &key, Version expected) = 0;
    /// Returns the object as soon as its version differs from @p knownVersion. After @p timeoutMs without a
    /// change, returns @p knownVersion; the value may then be empty.
    [[nodiscard]] virtual Base::Result<VersionedValue> watch(const std::string &key, Version knownVersion, int timeoutMs) = 0;
    /// Keys that begin with @p prefix, in ascending order.
    [[nodiscard]] virtual Base::Result<std::vector<std::string>> list(const std::string &prefix) = 0;
    /// The list of VMs, or an empty list of version @p knownVersion if it has not changed since that version.
    [[nodiscard]] virtual Base::Result<VmList> vms(Version knownVersion = noVersion) = 0;
};

/// Runs one store call and returns its value or its PlatformError.
template<typename F>
auto tryStore(F &&call)
{
    return Base::captureError<PlatformError>(std::forward<F>(call), PlatformError{PlatformFailure::MalformedAnswer, ""});
}

} // namespace Wasabistair::Platform
