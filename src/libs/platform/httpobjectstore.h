#pragma once

#include "objectstore.h"

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

/// The platform over HTTP; the wire format is described in docs/wire-formats.md.
/// Every call uses a connection of its own: control calls are few, and none can meet a silent old one.
class HttpObjectStore: public ObjectStore
{
public:
    HttpObjectStore(Base::HostPort address, int timeoutMs);

    [[nodiscard]] Base::Result<VersionedValue> get(const std::string &key) override;
    [[nodiscard]] Base::Result<Version> put(const std::string &key, const std::string &value, Version expected) override;
    [[nodiscard]] Base::Result<Version> remove(const std::string &key, Version expected) override;
    [[nodiscard]] Base::Result<VersionedValue> watch(const std::string &key, Version known, int timeoutMs) override;
    [[nodiscard]] Base::Result<std::vector<std::string>> list(const std::string &prefix) override;
    [[nodiscard]] Base::Result<VmList> vms(Version known = noVersion) override;

    /// Calls made so far, a waiting watch as one.
    [[nodiscard]] std::uint64_t calls(CallKind kind) const;
    /// Bytes of all calls, both ways; headers are counted as overheadBytes a call.
    [[nodiscard]] std::uint64_t bytes() const;

    static constexpr std::uint64_t overheadBytes = 700;

private:
    struct Call;
    struct Answer;

    [[nodiscard]] Base::Result<Answer> perform(const Call &call);

    const Base::HostPort address_;
    const int timeoutMs_;
    std::array<std::atomic<std::uint64_t>, callKindCount> calls_{};
    std::atomic<std::uint64_t> bytes_{0};
};

} // namespace Wasabistair::Platform
