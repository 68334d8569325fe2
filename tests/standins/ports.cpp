#include "ports.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <memory>
#include <mutex>
#include <vector>

namespace Wasabistair::StandIns {

namespace {

// Below the range of ephemeral ports: an outgoing connection could take a port between the check that it is free
// and the time at which a process listens on it.
constexpr int firstPort = 20'000;
constexpr int endPort = 32'000;
constexpr int blockSize = 100;

std::unique_ptr<Poco::Net::ServerSocket> tryListen(int port)
{
    try {
        auto socket = std::make_unique<Poco::Net::ServerSocket>();
        // Without the last argument, Poco also sets SO_REUSEPORT and two processes could listen on the same port.
        socket->bind(Poco::Net::SocketAddress("127.0.0.1", static_cast<std::uint16_t>(port)), true, false);
        socket->listen();
        return socket;
    } catch (const Poco::Exception &) {
        return nullptr;
    }
}

/// Allocates ports from blocks that no other process uses. A process reserves a block by listening on its first port.
class PortBlocks
{
public:
    std::uint16_t next()
    {
        while (true) {
            if (nextPort_ % blockSize == 0) {
                reserveBlock();
            }
            const int port = nextPort_++;
            if (tryListen(port)) {
                return static_cast<std::uint16_t>(port);
            }
        }
    }

private:
    void reserveBlock()
    {
        for (; nextPort_ < endPort; nextPort_ += blockSize) {
            if (auto reservation = tryListen(nextPort_)) {
                reservations_.push_back(std::move(reservation));
                ++nextPort_;
                return;
            }
        }
        throw Poco::RuntimeException("no free block of loopback ports left");
    }

    int nextPort_ = firstPort;
    std::vector<std::unique_ptr<Poco::Net::ServerSocket>> reservations_;
};

} // namespace

std::uint16_t freePort()
{
    static std::mutex mutex;
    static PortBlocks blocks;
    const std::lock_guard lock(mutex);
    return blocks.next();
}

} // namespace Wasabistair::StandIns
