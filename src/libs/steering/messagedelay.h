#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Wasabistair::Steering {

/// Times of one message in ms.
struct MessageTimes {
    /// When the message was made, by the sender's clock.
    std::int64_t sentAtMs = 0;
    /// The receiver had read all that had arrived before this time, by its own clock.
    std::int64_t arrivedAfterMs = 0;
    /// When the message was read, by the receiver's clock.
    std::int64_t readAtMs = 0;

    auto operator<=>(const MessageTimes &) const = default;
};

/// Estimates how old the messages of one sender are when they are read.
///
/// The clocks of two machines have different starts. The least difference between them over recent messages is that of a message which was
/// read at once; by what the difference of another message exceeds it, that message was on its way, waited to be read, or was held
/// by a sender that stood still. Not thread-safe.
class MessageDelay
{
public:
    /// Returns the delay of a message in ms. Without an earlier message of the sender, it is 0 unless the receiver may have stood still.
    std::int64_t record(const MessageTimes &times);

private:
    /// Least difference of the clocks in a number of messages that were read promptly.
    struct Window {
        std::int64_t leastMs = 0;
        std::int64_t beganAtMs = 0;
        std::size_t messages = 0;
    };

    void recordPrompt(std::int64_t differenceMs, std::int64_t readAtMs);

    Window current_;
    /// Least difference in the window before.
    std::optional<std::int64_t> previousMs_;
};

} // namespace Wasabistair::Steering
