#include "websockettransport.h"

#include <boost/asio/executor_work_guard.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace Wasabistair::Nodes {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

constexpr long openTimeoutMs = 2'000;
constexpr long closeTimeoutMs = 500;
/// Bytes of the frame header and the TCP/IP headers, added for each message in the traffic counters.
constexpr std::size_t perMessageOverheadBytes = 60;

template<typename Endpoint>
void configure(Endpoint &endpoint, boost::asio::io_service *service)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(service);
    endpoint.set_max_message_size(WebSocketTransport::maxMessageBytes);
    endpoint.set_open_handshake_timeout(openTimeoutMs);
    endpoint.set_close_handshake_timeout(closeTimeoutMs);
}

template<typename Endpoint>
std::string remoteHost(Endpoint &endpoint, const Handle &handle)
{
    websocketpp::lib::error_code error;
    auto connection = endpoint.get_con_from_hdl(handle, error);
    if (error) {
        return {};
    }
    boost::system::error_code socketError;
    const auto remote = connection->get_raw_socket().remote_endpoint(socketError);
    return socketError ? std::string() : remote.address().to_string();
}

} // namespace

class WebSocketTransport::Internals
{
public:
    Internals(std::string host, std::uint16_t port)
        : host_(std::move(host))
        , port_(port)
        , work_(boost::asio::make_work_guard(service_))
    {
        configure(server_, &service_);
        configure(client_, &service_);
        server_.set_reuse_addr(true);
    }

    void start(TransportHandlers handlers)
    {
        handlers_ = std::move(handlers);
        server_.set_open_handler([this](const Handle &handle) { opened(server_, nextId_.fetch_add(1), handle, false); });
        setHandlers(server_);
        setHandlers(client_);
        client_.set_open_handler([this](const Handle &handle) { opened(client_, idOf(handle), handle, true); });
        client_.set_fail_handler([this](const Handle &handle) { closed(handle); });
        server_.listen(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(host_), port_));
        server_.start_accept();
        thread_ = std::thread([this] { service_.run(); });
    }

    void stop()
    {
        if (!thread_.joinable()) {
            return;
        }
        service_.stop();
        thread_.join();
    }

    ConnectionId connect(const std::string &host, std::uint16_t port)
    {
        const ConnectionId id = nextId_.fetch_add(1);
        boost::asio::post(service_, [this, id, host, port] {
            websocketpp::lib::error_code error;
            auto connection = client_.get_connection("ws://" + host + ":" + std::to_string(port) + "/", error);
            if (error) {
                handlers_.closed(id);
                return;
            }
            registerConnection(id, connection->get_handle(), true);
            client_.connect(connection);
        });
        return id;
    }

    void send(ConnectionId id, std::string bytes)
    {
        boost::asio::post(service_, [this, id, bytes = std::move(bytes)] {
            const auto found = byId_.find(id);
            if (found == byId_.end()) {
                return;
            }
            websocketpp::lib::error_code error;
            if (found->second.outgoing) {
                sendOn(client_, found->second.handle, bytes, error);
            } else {
                sendOn(server_, found->second.handle, bytes, error);
            }
            if (!error) {
                bytesSent_ += bytes.size() + perMessageOverheadBytes;
            }
        });
    }

    void close(ConnectionId id)
    {
        boost::asio::post(service_, [this, id] {
            const auto found = byId_.find(id);
            if (found == byId_.end()) {
                return;
            }
            const Connection connection = found->second;
            websocketpp::lib::error_code error;
            if (connection.outgoing) {
                client_.close(connection.handle, websocketpp::close::status::going_away, "", error);
            } else {
                server_.close(connection.handle, websocketpp::close::status::going_away, "", error);
            }
            if (error) {
                closed(connection.handle);
            }
        });
    }

    std::uint64_t bytesSent() const
    {
        return bytesSent_;
    }

    std::uint64_t bytesReceived() const
    {
        return bytesReceived_;
    }

private:
    struct Connection {
        Handle handle;
        bool outgoing;
    };

    template<typename Endpoint>
    void setHandlers(Endpoint &endpoint)
    {
        endpoint.set_message_handler([this](const Handle &handle, typename Endpoint::message_ptr message) {
            bytesReceived_ += message->get_payload().size() + perMessageOverheadBytes;
            const ConnectionId id = idOf(handle);
            if (id != 0) {
                handlers_.received(id, message->get_payload());
            }
        });
        endpoint.set_close_handler([this](const Handle &handle) { closed(handle); });
    }

    template<typename Endpoint>
    void sendOn(Endpoint &endpoint, const Handle &handle, const std::string &bytes, websocketpp::lib::error_code &error)
    {
        auto connection = endpoint.get_con_from_hdl(handle, error);
        if (error) {
            return;
        }
        if (connection->get_buffered_amount() > WebSocketTransport::maxQueuedBytes) {
            connection->terminate(websocketpp::lib::error_code());
            return;
        }
        endpoint.send(handle, bytes, websocketpp::frame::opcode::binary, error);
    }

    template<typename Endpoint>
    void opened(Endpoint &endpoint, ConnectionId id, const Handle &handle, bool outgoing)
    {
        if (id == 0) {
            return;
        }
        if (!outgoing) {
            registerConnection(id, handle, false);
        }
        handlers_.opened(id, outgoing, remoteHost(endpoint, handle));
    }

    void registerConnection(ConnectionId id, const Handle &handle, bool outgoing)
    {
        byId_[id] = Connection{handle, outgoing};
        byHandle_[handle] = id;
    }

    ConnectionId idOf(const Handle &handle) const
    {
        const auto found = byHandle_.find(handle);
        return found == byHandle_.end() ? 0 : found->second;
    }

    void closed(const Handle &handle)
    {
        const ConnectionId id = idOf(handle);
        if (id == 0) {
            return;
        }
        byHandle_.erase(handle);
        byId_.erase(id);
        handlers_.closed(id);
    }

    const std::string host_;
    const std::uint16_t port_;
    boost::asio::io_service service_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    Server server_;
    Client client_;
    TransportHandlers handlers_;
    std::thread thread_;
    std::atomic<ConnectionId> nextId_{1};
    std::atomic<std::uint64_t> bytesSent_{0};
    std::atomic<std::uint64_t> bytesReceived_{0};
    // Accessed by the transport's thread only.
    std::map<ConnectionId, Connection> byId_;
    std::map<Handle, ConnectionId, std::owner_less<Handle>> byHandle_;
};

WebSocketTransport::WebSocketTransport(std::string host, std::uint16_t port)
    : internals_(std::make_unique<Internals>(std::move(host), port))
{}

WebSocketTransport::~WebSocketTransport()
{
    internals_->stop();
}

void WebSocketTransport::start(TransportHandlers handlers)
{
    internals_->start(std::move(handlers));
}

void WebSocketTransport::stop()
{
    internals_->stop();
}

ConnectionId WebSocketTransport::connect(const std::string &host, std::uint16_t port)
{
    return internals_->connect(host, port);
}

void WebSocketTransport::send(ConnectionId connection, const std::string &bytes)
{
    internals_->send(connection, bytes);
}

void WebSocketTransport::close(ConnectionId connection)
{
    internals_->close(connection);
}

std::uint64_t WebSocketTransport::bytesSent() const
{
    return internals_->bytesSent();
}

std::uint64_t WebSocketTransport::bytesReceived() const
{
    return internals_->bytesReceived();
}

} // namespace Wasabistair::Nodes
