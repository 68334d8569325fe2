#include "entryfixture.h"

#include <standins/platformobjects.h>
#include <standins/ports.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/TemporaryFile.h>
#include <Poco/Timespan.h>

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <thread>

namespace Wasabistair::Tests {

namespace {

using Json = nlohmann::json;

constexpr int receiveTimeoutSeconds = 10;

/// Log file for a VM started by a test, in the directory that WASABISTAIR_TEST_LOGS names; empty when that is not set.
std::string keptLogPath()
{
    const char *logs = std::getenv("WASABISTAIR_TEST_LOGS");
    return logs ? std::string(logs) + "/entry-" + std::to_string(StandIns::freePort()) + ".log" : "";
}

/// Sends @p text and returns everything received until the connection ends.
std::string sendAndReceive(std::uint16_t port, const std::string &text, bool endInput = false)
{
    std::string received;
    try {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
        socket.setReceiveTimeout(Poco::Timespan(receiveTimeoutSeconds, 0));
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        if (endInput) {
            socket.shutdownSend();
        }
        std::array<char, 4096> buffer;
        for (int count = 0; (count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()))) > 0;) {
            received.append(buffer.data(), static_cast<std::size_t>(count));
        }
    } catch (const Poco::Exception &) {
        // The connection broke or a receive timed out; what was received before counts.
        return received;
    }
    return received;
}

CallerAnswer parseAnswer(const std::string &text)
{
    CallerAnswer answer;
    const std::size_t end = text.find("\r\n\r\n");
    if (!text.starts_with("HTTP/1.1 ") || end == std::string::npos) {
        return answer;
    }
    answer.status = std::stoi(text.substr(9, 3));
    answer.head = text.substr(0, end + 2);
    answer.body = text.substr(end + 4);
    const std::string length = StandIns::ReceivedRequest{answer.head, ""}.header("Content-Length");
    answer.whole = !length.empty() && answer.body.size() == std::stoul(length);
    return answer;
}

} // namespace

EntryFixture::EntryFixture(std::string logFile, const StandIns::ProcessLimits &limits)
    : script([](int, const Request &request) {
        return Answer{StandIns::ScriptedUpstream::completeAnswer(request, 200, "body of " + request.header("X-Request-Id"))};
    })
    , first([this](const Request &request) { return script(0, request); })
    , second([this](const Request &request) { return script(1, request); })
    , logFile(std::move(logFile))
    , limits(limits)
{
    store.put("config", "main", manifest(1));
    registerUpstreams();
    startVm();
    REQUIRE(eventually([this] { return readiness() == 200; }));
    REQUIRE(eventually([this] { return get("/safe/warm").status == 200; }));
}

EntryFixture::~EntryFixture()
{
    vm.reset();
    std::remove((directory + "/settings.toml").c_str());
    std::remove(directory.c_str());
}

Json EntryFixture::manifest(int version) const
{
    const auto route = [](const std::string &prefix, const std::string &kind) { return StandIns::routeObject(prefix, kind, 1'500, 2); };
    return StandIns::manifestObject(version, {{"safe", route("/safe/", "safe")}, {"once", route("/once/", "unsafe")}});
}

void EntryFixture::startVm()
{
    directory = Poco::TemporaryFile::tempName();
    ::mkdir(directory.c_str(), 0700);
    callerPort = StandIns::freePort();
    readyPort = StandIns::freePort();
    lookupPort = StandIns::freePort();
    const std::string path = directory + "/settings.toml";
    std::ofstream file(path);
    file << StandIns::entrySettings(
        {"vm-1", "a", {{"a", "north"}, {"b", "south"}}, callerPort, readyPort, lookupPort, StandIns::freePort(), StandIns::freePort(), store.port()});
    file.close();
    startProcess();
}

void EntryFixture::startProcess()
{
    ::setenv("WASABISTAIR_SETTINGS", (directory + "/settings.toml").c_str(), 1);
    vm = std::make_unique<StandIns::ChildProcess>("wasabistaird", std::vector<std::string>{"entry"}, logFile.empty() ? keptLogPath() : logFile, limits);
}

void EntryFixture::registerUpstreams(const std::string &firstState)
{
    store.put("servers", "u-1", StandIns::upstreamObject(first.port(), "a", firstState));
    store.put("servers", "u-2", StandIns::upstreamObject(second.port(), "b", "ready"));
}

void EntryFixture::changeSettings(const std::string &before, const std::string &after) const
{
    const std::string path = directory + "/settings.toml";
    std::stringstream stream;
    stream << std::ifstream(path).rdbuf();
    std::string text = stream.str();
    const std::size_t at = text.find(before);
    REQUIRE(at != std::string::npos);
    // Replaced as a whole, as the platform does it: the VM may read the file at any time.
    std::ofstream(path + ".new") << text.replace(at, before.size(), after);
    REQUIRE(std::rename((path + ".new").c_str(), path.c_str()) == 0);
}

void EntryFixture::killAndRestartVm()
{
    vm->signal(SIGKILL);
    vm.reset();
    startProcess();
    REQUIRE(eventually([this] { return readiness() == 200; }));
}

CallerAnswer EntryFixture::send(const std::string &method, const std::string &path, const std::string &body, const std::string &headers) const
{
    static std::atomic<int> number{0};
    const std::string id = "request-" + std::to_string(++number);
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Request-Id: " + id + "\r\n" + headers;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return parseAnswer(sendAndReceive(callerPort, text + "\r\n" + body));
}

std::string EntryFixture::sendRaw(const std::string &bytes) const
{
    return sendAndReceive(callerPort, bytes, true);
}

CallerAnswer EntryFixture::get(const std::string &path) const
{
    return send("GET", path);
}

int EntryFixture::readiness() const
{
    return parseAnswer(sendAndReceive(readyPort, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")).status;
}

CallerAnswer EntryFixture::lookup() const
{
    return parseAnswer(sendAndReceive(lookupPort, "GET /resolve?name=h.example&region=north&zone=a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
}

bool EntryFixture::eventually(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    constexpr auto interval = std::chrono::milliseconds(20);
    for (std::chrono::milliseconds waited{0}; waited < timeout; waited += interval) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(interval);
    }
    return false;
}

long EntryFixture::peakMemoryKb() const
{
    std::ifstream file("/proc/" + std::to_string(vm->pid()) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stol(line.substr(6));
        }
    }
    return -1;
}

std::size_t EntryFixture::runs() const
{
    return first.received().size() + second.received().size();
}

} // namespace Wasabistair::Tests
