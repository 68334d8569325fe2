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

/// Version of the messages; connections of another version are closed.
constexpr int messageFormat = 1;

/// First message on a connection, from both ends.
struct Hello {
    std::string node;
    std::uint64_t incarnation = 0;

    bool operator==(const Hello &) const = default;
};

/// Sent every heartbeat interval and at once when something in it changes.
struct Heartbeat {
    /// Rises with each heartbeat of one incarnation; older ones are ignored.
    std::uint64_t sequence = 0;
    Base::HybridTime time;
    std::uint64_t generation = 0;
    /// Only in the first heartbeat of a generation on each connection.
    std::string manifestDigest;
    Platform::Version listVersion = 0;
    /// Whether the sender takes callers.
    bool available = false;
    /// Entry VMs that the sender knows to be unavailable: its zone's if it relays to other zones, all to its own zone.
    std::vector<std::string> unavailable;

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

/// Asks for the list; the answer leads from @c known to the sender's list where it still has that one.
struct ListRequest {
    Platform::Version known = Platform::noVersion;

    bool operator==(const ListRequest &) const = default;
};

struct ListReply {
    Platform::ListDelta delta;

    bool operator==(const ListReply &) const = default;
};

/// State and cumulative figures of one VM, for the zone's status and review objects.
struct Report {
    std::string node;
    std::uint64_t incarnation = 0;
    /// Compressed JSON text; see docs/wire-formats.md.
    std::string body;

    bool operator==(const Report &) const = default;
};

struct EventBatch {
    std::vector<Base::Event> events;

    bool operator==(const EventBatch &) const = default;
};

using Message = std::variant<Hello, Heartbeat, PartRequest, PartReply, ListRequest, ListReply, Report, EventBatch>;

[[nodiscard]] std::string encodeMessage(const Message &message);
/// Nothing when the bytes are no message of this format within its limits.
[[nodiscard]] std::optional<Message> decodeMessage(const std::string &bytes);

constexpr std::size_t maxEventsPerBatch = 64;
constexpr std::size_t maxUnavailable = 1024;
constexpr std::size_t maxReportBytes = 64 * 1024;

} // namespace Wasabistair::Nodes
