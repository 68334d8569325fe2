#pragma once

#include <base/hybridclock.h>
#include <base/timeline.h>
#include <platform/vmlist.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Wasabistair::Nodes {

/// Version of the message format; a connection whose hello has another version is closed.
constexpr int messageFormat = 1;

/// First message on a connection; both ends send it.
struct Hello {
    std::string node;
    std::uint64_t incarnation = 0;

    bool operator==(const Hello &) const = default;
};

/// Sent once per heartbeat interval, and at once when the sender's generation or availability changes.
struct Heartbeat {
    /// Increases with each heartbeat of one incarnation; the receiver ignores heartbeats that are not newer.
    std::uint64_t sequence = 0;
    Base::HybridTime time;
    std::uint64_t generation = 0;
    /// Set only in the first heartbeat for a generation on each connection.
    std::string manifestDigest;
    Platform::Version listVersion = 0;
    /// Whether the sender accepts callers.
    bool available = false;
    /// Entry VMs that the sender considers unavailable. Sent by relays only: to relays of other zones those of its own zone, to
    /// VMs of its own zone all of them.
    std::vector<std::string> unavailable;
    /// When it was sent, by the sender's monotonic clock in ms; 0 from a release that doesn't state it.
    Base::MonotonicMs sentAt = 0;

    bool operator==(const Heartbeat &) const = default;
};

struct PartRequest {
    std::string digest;

    bool operator==(const PartRequest &) const = default;
};

struct PartReply {
    std::string digest;
    bool found = false;
    std::string bytes;

    bool operator==(const PartReply &) const = default;
};

/// Requests the list of VMs. The answer is a delta from @c baseVersion if the peer still has that version, else the whole list.
struct ListRequest {
    Platform::Version baseVersion = Platform::noVersion;

    bool operator==(const ListRequest &) const = default;
};

struct ListReply {
    Platform::ListDelta delta;

    bool operator==(const ListReply &) const = default;
};

/// State and cumulative counters of one VM, for the status and review objects of its zone.
struct VmReport {
    std::string node;
    std::uint64_t incarnation = 0;
    /// Compressed JSON text; see docs/wire-formats.md.
    std::string body;

    bool operator==(const VmReport &) const = default;
};

struct EventBatch {
    std::vector<Base::Event> events;

    bool operator==(const EventBatch &) const = default;
};

using Message = std::variant<Hello, Heartbeat, PartRequest, PartReply, ListRequest, ListReply, VmReport, EventBatch>;

[[nodiscard]] std::string encodeMessage(const Message &message);
/// Returns nothing if the bytes are not a message of this format or exceed one of its limits.
[[nodiscard]] std::optional<Message> decodeMessage(const std::string &bytes);

constexpr std::size_t maxEventsPerBatch = 64;
constexpr std::size_t maxUnavailable = 1024;
constexpr std::size_t maxReportBytes = 64 * 1024;

} // namespace Wasabistair::Nodes
