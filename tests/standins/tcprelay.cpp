#include "tcprelay.h"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Wasabistair::StandIns {

namespace {

constexpr int backlog = 256;
constexpr int pollMs = 20;
constexpr std::size_t bufferBytes = 64 * 1024;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool sendAll(int socket, const char *bytes, std::size_t size)
{
    while (size > 0) {
        const ssize_t count = ::send(socket, bytes, size, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes += count;
        size -= static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

struct TcpRelay::Connection {
    int client = -1;
    int server = -1;
    std::uint64_t epoch = 0;
    std::atomic<bool> done{false};
    std::thread thread;

    ~Connection()
    {
        if (thread.joinable()) {
            thread.join();
        }
        ::close(client);
        ::close(server);
    }
};

TcpRelay::TcpRelay(std::uint16_t target)
    : target_(target)
{
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    const bool listening = ::bind(listener_, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0 && ::listen(listener_, backlog) == 0;
    if (!listening) {
        std::abort();
    }
    socklen_t length = sizeof(address);
    ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &length);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { acceptLoop(); });
}

TcpRelay::~TcpRelay()
{
    stopping_ = true;
    acceptor_.join();
    connections_.clear();
    ::close(listener_);
}

std::uint16_t TcpRelay::port() const
{
    return port_;
}

void TcpRelay::setMode(RelayMode mode)
{
    modeEpoch_.fetch_add(1);
    mode_ = mode;
}

void TcpRelay::setDelayMs(int milliseconds)
{
    delayMs_ = milliseconds;
}

void TcpRelay::acceptLoop()
{
    while (!stopping_) {
        pollfd pollEntries{listener_, POLLIN, 0};
        if (::poll(&pollEntries, 1, pollMs) <= 0) {
            const std::lock_guard lock(mutex_);
            connections_.remove_if([](const auto &connection) { return connection->done.load(); });
            continue;
        }
        const int client = ::accept(listener_, nullptr, nullptr);
        if (mode_ == RelayMode::Disconnect) {
            ::close(client);
            continue;
        }
        auto connection = std::make_unique<Connection>();
        connection->client = client;
        connection->server = ::socket(AF_INET, SOCK_STREAM, 0);
        connection->epoch = modeEpoch_;
        const sockaddr_in address = loopback(target_);
        if (::connect(connection->server, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(connection->client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        ::setsockopt(connection->server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        Connection &running = *connection;
        running.thread = std::thread([this, &running] { forwardLoop(running); });
        const std::lock_guard lock(mutex_);
        connections_.push_back(std::move(connection));
    }
}

void TcpRelay::forwardLoop(Connection &connection)
{
    std::array<char, bufferBytes> buffer;
    const std::array<std::pair<int, int>, 2> directions = {{{connection.client, connection.server}, {connection.server, connection.client}}};
    bool open = true;
    while (open && !stopping_ && mode_ != RelayMode::Disconnect) {
        const bool blackholed = mode_ == RelayMode::Blackhole || (mode_ == RelayMode::BlackholeExisting && connection.epoch != modeEpoch_);
        if (blackholed) {
            std::this_thread::sleep_for(std::chrono::milliseconds(pollMs));
            continue;
        }
        std::array<pollfd, 2> pollEntries = {{{connection.client, POLLIN, 0}, {connection.server, POLLIN, 0}}};
        if (::poll(pollEntries.data(), pollEntries.size(), pollMs) <= 0) {
            continue;
        }
        for (std::size_t i = 0; i < directions.size() && open; ++i) {
            if ((pollEntries[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) {
                continue;
            }
            const ssize_t count = ::recv(directions[i].first, buffer.data(), buffer.size(), 0);
            if (delayMs_ > 0) {
                std::this_thread::sleep_for(std::chrono::milliseconds(delayMs_));
            }
            open = count > 0 && sendAll(directions[i].second, buffer.data(), static_cast<std::size_t>(count));
        }
    }
    ::shutdown(connection.client, SHUT_RDWR);
    ::shutdown(connection.server, SHUT_RDWR);
    connection.done = true;
}

} // namespace Wasabistair::StandIns
