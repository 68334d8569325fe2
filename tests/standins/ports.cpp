#include "ports.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <mutex>
#include <set>

namespace Wasabistair::StandIns {

std::uint16_t freePort()
{
    static std::mutex mutex;
    static std::set<std::uint16_t> given;
    const std::lock_guard lock(mutex);
    while (true) {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
        const std::uint16_t port = socket.address().port();
        if (given.insert(port).second) {
            return port;
        }
    }
}

} // namespace Wasabistair::StandIns
