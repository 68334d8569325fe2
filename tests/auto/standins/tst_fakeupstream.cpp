#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <standins/fakeupstream.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <array>
#include <csignal>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace Wasabistair::StandIns;

namespace {

constexpr int concurrentCallers = 8;
constexpr int requestsPerCaller = 1'500;

struct FakeUpstreamFixture {
    FakeUpstreamFixture()
    {
        std::signal(SIGPIPE, SIG_IGN);
        UpstreamSettings settings;
        settings.slots = concurrentCallers;
        settings.queue = 0;
        settings.serviceMs = 0;
        upstream = std::make_unique<FakeUpstream>(settings);
    }

    /// Sends requests one after the other, alternating between two connections, so that at most one is in flight.
    void sendSequentially(const std::string &fault, int requests) const
    {
        std::array<std::unique_ptr<Poco::Net::HTTPClientSession>, 2> sessions;
        for (int i = 0; i < requests; ++i) {
            auto &session = sessions[static_cast<std::size_t>(i) % sessions.size()];
            if (!session) {
                session = std::make_unique<Poco::Net::HTTPClientSession>("127.0.0.1", upstream->port());
                session->setKeepAlive(true);
            }
            try {
                Poco::Net::HTTPRequest request("GET", "/orders/1", "HTTP/1.1");
                if (!fault.empty()) {
                    request.set("X-Fault", fault);
                }
                session->sendRequest(request);
                Poco::Net::HTTPResponse response;
                std::istream &in = session->receiveResponse(response);
                static_cast<void>(std::string(std::istreambuf_iterator<char>(in), {}));
            } catch (const Poco::Exception &) {
                session.reset();
            }
        }
    }

    void sendFromAllCallers(const std::string &fault, int requests) const
    {
        std::vector<std::thread> callers;
        callers.reserve(concurrentCallers);
        for (int i = 0; i < concurrentCallers; ++i) {
            callers.emplace_back([&] { sendSequentially(fault, requests); });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    std::unique_ptr<FakeUpstream> upstream;
};

} // namespace

TEST_CASE_FIXTURE(FakeUpstreamFixture, "slot_answerReadToItsEnd_isFreeForTheNextRequest")
{
    sendFromAllCallers("", requestsPerCaller);
    CHECK(upstream->statistics().shed == 0);
    CHECK(upstream->statistics().ran == static_cast<std::uint64_t>(concurrentCallers) * requestsPerCaller);
}

TEST_CASE_FIXTURE(FakeUpstreamFixture, "slot_connectionClosedByTheServer_isFreeForTheNextRequest")
{
    for (const std::string fault : {"reset-before-answer", "reset-after-run", "cut-body"}) {
        INFO(fault);
        sendFromAllCallers(fault, requestsPerCaller / 10);
        CHECK(upstream->statistics().shed == 0);
    }
}
