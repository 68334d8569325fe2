#include "entryfixture.h"

#include <standins/platformobjects.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/TemporaryFile.h>
#include <Poco/Timespan.h>

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <fstream>
#include <sstream>

using namespace Wasabistair;
using namespace Wasabistair::Tests;
using Json = nlohmann::json;
using StandIns::ReceivedRequest;

namespace {

// Time until a new version of the configuration must be in force at every VM.
constexpr auto configurationBound = std::chrono::milliseconds(3'000);
// Words that occur nowhere else.
const std::string alphaKey = "k-alpha-7c1f";
const std::string betaKey = "k-beta-90d2";

std::string bearer(const std::string &key)
{
    return "Authorization: Bearer " + key + "\r\n";
}

/// The requests for @p path that the upstreams of @p fixture received.
std::vector<ReceivedRequest> requestsFor(const EntryFixture &fixture, const std::string &path)
{
    std::vector<ReceivedRequest> found;
    for (const auto &upstream : {&fixture.first, &fixture.second}) {
        for (const ReceivedRequest &request : upstream->received()) {
            if (request.head.find(" " + path + " ") != std::string::npos) {
                found.push_back(request);
            }
        }
    }
    return found;
}

/// An entry VM whose configuration has two teams, and a route that needs no key.
struct TeamsFixture: EntryFixture {
    explicit TeamsFixture(const std::string &logFile = "")
        : EntryFixture(logFile)
    {
        putTeams({{"alpha", {{"api-keys", {alphaKey}}}}, {"beta", {{"api-keys", {betaKey}}}}});
        REQUIRE(eventually([this] { return get("/open/wait").status == 200; }));
    }

    void putTeams(const Json &teams)
    {
        Json open = StandIns::routeObject("/open/", "safe", 1'500, 2);
        open["anonymous"] = true;
        Json manifest = StandIns::manifestObject(++version,
            {{"safe", StandIns::routeObject("/safe/", "safe", 1'500, 2)}, {"once", StandIns::routeObject("/once/", "unsafe", 1'500, 2)}, {"open", open}});
        manifest["tenants"] = teams;
        store.put("config", "main", manifest);
    }

    /// Restarts the VM with settings that ask for it.
    void useStrictRevocation()
    {
        changeSettings("bounds = [", R"(bounds = ["strict-revoke=true","revoke-ms=1000",)");
        killAndRestartVm();
    }

    int version = 1;
};

/// A connection that stays open.
class KeptConnection
{
public:
    explicit KeptConnection(std::uint16_t port)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", port))
    {
        socket_.setReceiveTimeout(Poco::Timespan(10, 0));
    }

    void send(const std::string &path, const std::string &key)
    {
        const std::string text
            = "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: kept-" + std::to_string(++number_) + "\r\n" + bearer(key) + "\r\n";
        socket_.sendBytes(text.data(), static_cast<int>(text.size()));
    }

    /// Status of the next answer; 0 when the connection ends first.
    int receiveStatus()
    {
        while (true) {
            const std::size_t end = received_.find("\r\n\r\n");
            if (end != std::string::npos) {
                const ReceivedRequest head{received_.substr(0, end + 2), ""};
                const std::size_t size = end + 4 + std::stoul(head.header("Content-Length"));
                if (received_.size() >= size) {
                    const int status = std::stoi(received_.substr(9, 3));
                    received_.erase(0, size);
                    return status;
                }
            }
            std::array<char, 4096> buffer;
            const int count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count <= 0) {
                return 0;
            }
            received_.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }

private:
    Poco::Net::StreamSocket socket_;
    std::string received_;
    int number_ = 0;
};

} // namespace

TEST_CASE_FIXTURE(TeamsFixture, "teams_unknownKey_isRejectedWithoutAskingAnUpstream")
{
    for (const std::string &headers :
        {std::string(), bearer("other"), bearer(alphaKey) + bearer(alphaKey), "Authorization: " + alphaKey + "\r\n", std::string("X-Tenant: alpha\r\n")}) {
        const CallerAnswer answer = send("GET", "/safe/unknown", "", headers);
        CHECK(answer.status == 401);
        CHECK(answer.head.find("WWW-Authenticate: Bearer") != std::string::npos);
        CHECK(send("POST", "/once/unknown", "order", headers).status == 401);
    }
    CHECK(requestsFor(*this, "/safe/unknown").empty());
    CHECK(requestsFor(*this, "/once/unknown").empty());
}

TEST_CASE_FIXTURE(TeamsFixture, "teams_knownKey_givesUpstreamsTheTeamAndNotTheKey")
{
    CHECK(send("POST", "/once/known", "order", bearer(betaKey) + "X-Tenant: alpha\r\nx-tenant: gamma\r\nConnection: X-Tenant\r\n").status == 200);
    const auto received = requestsFor(*this, "/once/known");
    REQUIRE(received.size() == 1);
    CHECK(received.front().header("X-Tenant") == "beta");
    CHECK(received.front().head.find("alpha") == std::string::npos);
    CHECK(received.front().head.find("gamma") == std::string::npos);
    CHECK(received.front().head.find(betaKey) == std::string::npos);
    CHECK(received.front().header("Authorization").empty());
}

TEST_CASE_FIXTURE(TeamsFixture, "teams_anonymousRoute_needsNoKeyAndNamesNoTeam")
{
    CHECK(get("/open/plain").status == 200);
    CHECK(send("GET", "/open/forged", "", bearer(alphaKey) + "X-Tenant: alpha\r\n").status == 200);
    for (const char *path : {"/open/plain", "/open/forged"}) {
        const auto received = requestsFor(*this, path);
        REQUIRE(received.size() == 1);
        CHECK(received.front().head.find("X-Tenant") == std::string::npos);
        CHECK(received.front().head.find("Authorization") == std::string::npos);
    }
}

TEST_CASE_FIXTURE(EntryFixture, "teams_noneConfigured_callersHeadersPassUnchanged")
{
    CHECK(send("POST", "/once/free", "order", bearer(alphaKey) + "X-Tenant: own\r\n").status == 200);
    const auto received = requestsFor(*this, "/once/free");
    REQUIRE(received.size() == 1);
    CHECK(received.front().header("Authorization") == "Bearer " + alphaKey);
    CHECK(received.front().header("X-Tenant") == "own");
}

TEST_CASE_FIXTURE(TeamsFixture, "teams_keyRemovedWhileAConnectionIsKept_isRejectedWithinTheBound")
{
    KeptConnection kept(callerPort);
    kept.send("/safe/kept", alphaKey);
    REQUIRE(kept.receiveStatus() == 200);
    putTeams({{"alpha", {{"api-keys", {"k-new"}}}}, {"beta", {{"api-keys", {betaKey}}}}});
    const auto published = std::chrono::steady_clock::now();
    int status = 200;
    while (status == 200 && std::chrono::steady_clock::now() < published + configurationBound) {
        kept.send("/safe/kept", alphaKey);
        status = kept.receiveStatus();
    }
    CHECK(status == 401);
    kept.send("/safe/kept", "k-new");
    CHECK(kept.receiveStatus() == 200);
}

TEST_CASE_FIXTURE(TeamsFixture, "teams_pipelinedReads_areJudgedByTheirOwnKeys")
{
    KeptConnection kept(callerPort);
    kept.send("/safe/pipe-1", alphaKey);
    kept.send("/safe/pipe-2", "other");
    kept.send("/safe/pipe-3", betaKey);
    kept.send("/open/pipe-4", "other");
    CHECK(kept.receiveStatus() == 200);
    CHECK(kept.receiveStatus() == 401);
    CHECK(kept.receiveStatus() == 200);
    CHECK(kept.receiveStatus() == 200);
    CHECK(requestsFor(*this, "/safe/pipe-2").empty());
    REQUIRE(requestsFor(*this, "/safe/pipe-3").size() == 1);
    CHECK(requestsFor(*this, "/safe/pipe-3").front().header("X-Tenant") == "beta");
}

TEST_CASE_FIXTURE(TeamsFixture, "teams_refusedVersion_leavesTheOldOneInForce")
{
    putTeams({{"alpha", {{"api-keys", {"k-twice"}}}}, {"beta", {{"api-keys", {"k-twice"}}}}});
    const auto published = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < published + configurationBound) {
        REQUIRE(send("GET", "/safe/old", "", bearer(alphaKey)).status == 200);
    }
    CHECK(send("GET", "/safe/old", "", bearer("k-twice")).status == 401);
}

TEST_CASE_FIXTURE(TeamsFixture, "teams_storeIsAway_keysThatAreKnownAreServedOn")
{
    store.setFaults({.busy = true});
    const auto outageEnd = std::chrono::steady_clock::now() + std::chrono::milliseconds(1'500);
    while (std::chrono::steady_clock::now() < outageEnd) {
        REQUIRE(send("GET", "/safe/away", "", bearer(alphaKey)).status == 200);
        REQUIRE(send("GET", "/safe/away", "", bearer("other")).status == 401);
    }
}

TEST_CASE_FIXTURE(TeamsFixture, "teams_storeIsAwayWithStrictRevocation_keysAreRejectedUntilItIsBack")
{
    useStrictRevocation();
    const auto statusIs = [this](int status) { return eventually([&] { return send("GET", "/safe/strict", "", bearer(alphaKey)).status == status; }); };
    REQUIRE(statusIs(200));
    store.setFaults({.busy = true});
    CHECK(statusIs(503));
    CHECK(send("GET", "/safe/strict", "", bearer("other")).status == 503);
    CHECK(get("/open/strict").status == 200);
    store.setFaults({});
    CHECK(statusIs(200));
    CHECK(send("GET", "/safe/strict", "", bearer("other")).status == 401);
}

TEST_CASE("teams_anyRequest_leavesNoKeyInTheLog")
{
    const std::string logFile = Poco::TemporaryFile::tempName();
    {
        TeamsFixture fixture(logFile);
        fixture.script = [](int, const ReceivedRequest &) { return StandIns::ScriptedAnswer{"not an answer\r\n\r\n"}; };
        CHECK(fixture.send("POST", "/once/broken", "order", bearer(alphaKey)).status == 502);
        CHECK(fixture.send("GET", "/safe/other", "", bearer("k-unknown-5b3e")).status == 401);
        CHECK(fixture.sendRaw("GET /safe/x HTTP/1.1\r\n" + bearer(betaKey) + "Host: two words\r\n\r\n").starts_with("HTTP/1.1 400"));
        fixture.putTeams({{"alpha", {{"api-keys", {"k-twice-11aa"}}}}, {"beta", {{"api-keys", {"k-twice-11aa"}}}}});
        const auto readLog = [&] {
            std::stringstream text;
            text << std::ifstream(logFile).rdbuf();
            return text.str();
        };
        REQUIRE(EntryFixture::eventually([&] { return readLog().find("key-of-two-teams") != std::string::npos; }));
        const std::string log = readLog();
        CHECK(log.find("unknown-key") != std::string::npos);
        CHECK(log.find("tenants.beta.api-keys") != std::string::npos);
        for (const std::string &key : {alphaKey, betaKey, std::string("k-unknown-5b3e"), std::string("k-twice-11aa")}) {
            CHECK_MESSAGE(log.find(key) == std::string::npos, key);
        }
    }
    std::remove(logFile.c_str());
}
