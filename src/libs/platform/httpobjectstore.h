#pragma once

#include "objectstore.h"

#include <base/clock.h>
#include <base/settings.h>

#include <array>
#include <atomic>

namespace Wasabistair::Platform {

enum class CallKind {
    Get,
    Put,
    Remove,
    Watch,
    List,
    Vms,
};

constexpr std::size_t callKindCount = 6;
[[nodiscard]] std::string_view toString(CallKind kind);

/// Object store client over HTTP; docs/wire-formats.md describes the wire format.
/// Every call opens its own connection. Calls are few, and a reused connection could be stale and time out.
class HttpObjectStore: public ObjectStore
{
public:
    HttpObjectStore(Base::HostPort address, int timeoutMs);

    [[nodiscard]] Base::Result<VersionedValue> get(const std::string &key) override;
    [[nodiscard]] Base::Result<Version> put(const std::string &key, const std::string &value, Version expected) override;
    [[nodiscard]] Base::Result<Version> remove(const std::string &key, Version expected) override;
    [[nodiscard]] Base::Result<VersionedValue> watch(const std::string &key, Version knownVersion, int timeoutMs) override;
    [[nodiscard]] Base::Result<std::vector<std::string>> list(const std::string &prefix) override;
    [[nodiscard]] Base::Result<VmList> vms(Version knownVersion = noVersion) override;

    /// Number of calls made so far; a watch counts as one call, however long it waits.
    [[nodiscard]] std::uint64_t calls(CallKind kind) const;
    /// Bytes sent and received by all calls; headers are estimated at a fixed size per call.
    [[nodiscard]] std::uint64_t bytes() const;

    static constexpr std::uint64_t headerBytesPerCall = 700;

private:
    struct Call;
    struct Answer;

    [[nodiscard]] Base::Result<Answer> perform(const Call &call);

    const Base::HostPort address_;
    const int timeoutMs_;
    const Base::SystemClock clock_;
    std::array<std::atomic<std::uint64_t>, callKindCount> calls_{};
    std::atomic<std::uint64_t> bytes_{0};
};

} // namespace Wasabistair::Platform
