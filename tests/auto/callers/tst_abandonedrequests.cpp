#include <doctest/doctest.h>

#include <platform/storeclient.h>
#include <upstreams/exchange.h>
#include <upstreams/upstreamcall.h>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <array>

using namespace Wasabistair;

namespace {

/// A server that reads nothing of a request before the client has given it up, as behind a partition.
struct HeldServer {
    HeldServer()
    {
        // Less than a request, so that its rest waits at the sender.
        constexpr int receiveBufferBytes = 4'096;
        socket.init(AF_INET);
        socket.setReceiveBufferSize(receiveBufferBytes);
        socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        socket.listen();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return socket.address().port();
    }

    /// Number of bytes that arrive after all.
    std::size_t readAll()
    {
        Poco::Net::StreamSocket connection = socket.acceptConnection();
        connection.setReceiveTimeout(Poco::Timespan(2, 0));
        std::array<char, 16'384> buffer;
        std::size_t bytes = 0;
        try {
            for (int received = 1; received > 0; bytes += static_cast<std::size_t>(received)) {
                received = connection.receiveBytes(buffer.data(), buffer.size());
            }
        } catch (const Poco::Exception &) {
            wasReset = true;
        }
        return bytes;
    }

    Poco::Net::ServerSocket socket;
    bool wasReset = false;
};

struct AbandonedRequestFixture {
    static constexpr int timeoutMs = 300;
    const std::string body = std::string(60'000, 'b');
    Base::SystemClock clock;
    HeldServer server;
};

/// The body of a standalone request.
class FixedBody: public Upstreams::RequestBody
{
public:
    explicit FixedBody(std::string bytes)
        : bytes_(std::move(bytes))
    {}

    [[nodiscard]] Http::Framing framing() const override
    {
        return Http::Framing::FixedLength;
    }

    [[nodiscard]] std::int64_t length() const override
    {
        return static_cast<std::int64_t>(bytes_.size());
    }

    std::size_t read(char *buffer, std::size_t size) override
    {
        const std::size_t count = bytes_.copy(buffer, size, read_);
        read_ += count;
        return count;
    }

    [[nodiscard]] Http::BodyState state() const override
    {
        return read_ < bytes_.size() ? Http::BodyState::NeedsMore : Http::BodyState::Complete;
    }

private:
    std::string bytes_;
    std::size_t read_ = 0;
};

} // namespace

// Guards against a request that runs after its caller was told that it had been given up (review/13).
TEST_CASE_FIXTURE(AbandonedRequestFixture, "upstreamCall_timesOutWhileTheRequestIsHeldUp_restNeverArrives")
{
    Poco::Net::ServerSocket callers(Poco::Net::SocketAddress("127.0.0.1", 0));
    Poco::Net::StreamSocket callerEnd(callers.address());
    const Http::ByteStream caller(callers.acceptConnection(), clock);
    Poco::Net::HTTPRequest head("POST", "/orders", Poco::Net::HTTPRequest::HTTP_1_1);
    head.setContentLength(static_cast<std::streamsize>(body.size()));
    const std::string requestId = "r-1";
    Upstreams::IdleConnectionPool pool(clock);
    Base::MemoryBudget memory(1 << 20);
    Upstreams::UpstreamCall call(pool, memory, clock);
    Steering::UpstreamEntry upstream;
    upstream.id = "u-1";
    upstream.host = "127.0.0.1";
    upstream.port = server.port();
    const auto result = call.run(upstream, {head, body, requestId, false, [] { return true; }}, caller, clock.monotonic() + timeoutMs);
    CHECK((result.end == Upstreams::CallOutcome::TimedOut));
    CHECK(server.readAll() < body.size());
    CHECK(server.wasReset);
}

TEST_CASE_FIXTURE(AbandonedRequestFixture, "exchange_timesOutWhileTheRequestIsHeldUp_restNeverArrives")
{
    Upstreams::UpstreamSession session(clock);
    session.open({"127.0.0.1", server.port()}, timeoutMs);
    Upstreams::Exchange exchange(session, clock, {clock.monotonic() + timeoutMs, timeoutMs, timeoutMs}, {});
    FixedBody request(body);
    Upstreams::AttemptResult result = exchange.send({"POST", "/orders", {}}, request);
    result = result == Upstreams::AttemptResult::Pending ? exchange.finish() : result;
    CHECK((result == Upstreams::AttemptResult::DeadlinePassed));
    CHECK(server.readAll() < body.size());
    CHECK(server.wasReset);
}

TEST_CASE_FIXTURE(AbandonedRequestFixture, "storeClient_writeTimesOutWhileItIsHeldUp_restNeverArrives")
{
    Adapter::StoreCallCounters counters;
    Nodes::StoreEraTracker eras;
    Adapter::StoreClient client({"127.0.0.1", server.port()}, timeoutMs, clock, counters, eras);
    const auto outcome = Adapter::tryStoreCall([&] { return client.create("things", "a", body); });
    REQUIRE_FALSE(outcome);
    CHECK((outcome.error->failure == Adapter::StoreFailure::OutcomeUnknown));
    CHECK(server.readAll() < body.size());
    CHECK(server.wasReset);
}
