#pragma once

#include <base/clock.h>

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <deque>

namespace Wasabistair::Callers {

/// Rejects connections for which no thread is free: tells the caller of each that its request was not executed, and closes it. Never blocks;
/// all methods are called by one thread.
class ConnectionRejector
{
public:
    explicit ConnectionRejector(const Base::Clock &clock);

    void add(const Poco::Net::StreamSocket &socket);
    /// Answers the connections on which bytes have arrived, and closes those that their callers have closed or that have been kept long
    /// enough.
    void poll();
    [[nodiscard]] bool isEmpty() const;

    /// Connections kept at the same time; one more closes the oldest.
    static constexpr std::size_t maxConnections = 32;

private:
    struct Rejected {
        Poco::Net::StreamSocket socket;
        Base::MonotonicMs closeAtMs = 0;
        bool answered = false;
    };

    /// Returns whether the connection is to be kept: its caller may not have read the answer yet.
    static bool progress(Rejected &rejected, Base::MonotonicMs now);
    static void answer(Rejected &rejected);

    const Base::Clock &clock_;
    std::deque<Rejected> rejected_;
};

} // namespace Wasabistair::Callers
