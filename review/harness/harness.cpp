#include "harness.h"

#include <standins/ports.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <thread>

namespace Wasabistair::Review {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t msPerSecond = 1'000;
constexpr std::int64_t nsPerMs = 1'000'000;
constexpr std::int64_t probeTimeoutMs = 1'000;
constexpr std::int64_t pollIntervalMs = 20;
constexpr int firstInheritedDescriptor = 3;
// Second and last port of the range for traffic between VMs, counted from the first one.
constexpr std::uint16_t lastInnerPortOffset = 2;

std::string environment(const char *name, const std::string &defaultValue)
{
    const char *value = std::getenv(name);
    return value == nullptr ? defaultValue : value;
}

/// The first of three successive free ports.
std::uint16_t freePortRange()
{
    std::uint16_t first = StandIns::freePort();
    std::uint16_t last = first;
    while (last - first < lastInnerPortOffset) {
        const std::uint16_t next = StandIns::freePort();
        first = next == last + 1 ? first : next;
        last = next;
    }
    return first;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Length of the answer in @p bytes with its head, once the head is complete; 0 before.
std::size_t answerLength(const std::string &bytes)
{
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
        return 0;
    }
    CallResult parsed;
    parsed.head = bytes.substr(0, end + 2);
    const std::string length = parsed.header("Content-Length");
    return end + 4 + (length.empty() ? 0 : std::stoul(length));
}

/// Socket that is closed at the end and isn't inherited by the VMs.
class Connection
{
public:
    explicit Connection(std::uint16_t port)
        : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        isOpen_ = ::connect(fd_, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection()
    {
        ::close(fd_);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    [[nodiscard]] bool isOpen() const
    {
        return isOpen_;
    }

    [[nodiscard]] bool send(const std::string &text) const
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Appends what arrives; false when the peer ended the connection. Waits up to @p waitMs.
    [[nodiscard]] bool receive(std::string &bytes, std::int64_t waitMs) const
    {
        pollfd entry{fd_, POLLIN, 0};
        if (::poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(0, waitMs))) <= 0) {
            return true;
        }
        std::array<char, 16'384> buffer;
        const ssize_t count = ::recv(fd_, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            return false;
        }
        bytes.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    }

private:
    int fd_;
    bool isOpen_ = false;
};

} // namespace

std::int64_t nowMs()
{
    timespec value{};
    ::clock_gettime(CLOCK_MONOTONIC, &value);
    return value.tv_sec * msPerSecond + value.tv_nsec / nsPerMs;
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool hasTrouble()
{
    return environment("TROUBLE", "1") != "0";
}

Record::Record()
    : file_(environment("RECORD", "record.txt"))
    , startMs_(nowMs())
{}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    file_ << std::setw(7) << nowMs() - startMs_ << " ms  " << line << std::endl;
}

Vm::Vm(VmPlan plan, std::string directory)
    : plan_(std::move(plan))
    , directory_(std::move(directory))
    , callerPort_(StandIns::freePort())
    , readyPort_(StandIns::freePort())
    , lookupPort_(StandIns::freePort())
    , firstInnerPort_(freePortRange())
{
    writeSettings(plan_.bounds);
}

Vm::~Vm()
{
    kill();
}

void Vm::writeSettings(const std::vector<std::string> &bounds)
{
    const auto address = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
    std::ostringstream text;
    text << "node-name = \"" << plan_.name
         << "\"\nrole = \"entry\"\nmachine-class = \"front\"\nserves = [\"front\",\"directory\"]\nip = \"127.0.0.1\"\nzone = \"" << plan_.zone
         << "\"\nregion = \"" << plan_.regionOfZone.at(plan_.zone) << "\"\ninner-port-range = [" << firstInnerPort_ << ","
         << firstInnerPort_ + lastInnerPortOffset
         << "]\nseeds = []\nfirst-start = true\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat-ms = 1500\nbounds = [";
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        text << (i == 0 ? "\"" : ",\"") << bounds[i] << "\"";
    }
    text << "]\n[zones]\n";
    for (const auto &[zone, region] : plan_.regionOfZone) {
        text << zone << " = \"" << region << "\"\n";
    }
    text << "[listen]\nfront = " << address(callerPort_) << "ready-addr = " << address(readyPort_) << "directory = " << address(lookupPort_)
         << "[limits]\ncpu-share = 0.2\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\n[platform]\naddress = " << address(plan_.storePort);
    const std::string path = directory_ + "/" + plan_.name + ".toml";
    const std::string next = path + ".next";
    std::ofstream(next) << text.str();
    std::filesystem::rename(next, path);
}

void Vm::start()
{
    const std::string program = environment("WASABISTAIR_BIN", "target/bin") + "/wasabistaird";
    const std::string settings = "WASABISTAIR_SETTINGS=" + directory_ + "/" + plan_.name + ".toml";
    const std::string path = "PATH=" + environment("PATH", "/usr/bin:/bin");
    const std::string log = directory_ + "/" + plan_.name + ".log";
    std::array<char *, 3> arguments = {const_cast<char *>(program.c_str()), const_cast<char *>("entry"), nullptr};
    std::array<char *, 3> variables = {const_cast<char *>(settings.c_str()), const_cast<char *>(path.c_str()), nullptr};
    pid_ = ::fork();
    if (pid_ == 0) {
        // Ends the VM also when the script itself is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        // A VM that held a copy of a stand-in's socket would keep that connection open.
        ::close_range(firstInheritedDescriptor, ~0U, 0);
        ::execve(program.c_str(), arguments.data(), variables.data());
        ::_exit(couldNotRun);
    }
}

void Vm::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

bool Vm::hasEnded()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
        pid_ = -1;
    }
    return pid_ <= 0;
}

void Vm::kill()
{
    signal(SIGKILL);
    if (pid_ > 0) {
        ::waitpid(pid_, nullptr, 0);
    }
    pid_ = -1;
}

int Vm::readiness() const
{
    return call(readyPort_, "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", probeTimeoutMs).status;
}

bool Vm::awaitReady(std::int64_t milliseconds) const
{
    const std::int64_t end = nowMs() + milliseconds;
    while (nowMs() < end) {
        if (readiness() == 200) {
            return true;
        }
        sleepMs(pollIntervalMs);
    }
    return false;
}

std::uint16_t Vm::callerPort() const
{
    return callerPort_;
}

std::uint16_t Vm::lookupPort() const
{
    return lookupPort_;
}

const std::string &Vm::name() const
{
    return plan_.name;
}

TemporaryFolder::TemporaryFolder()
    : path_((std::filesystem::temp_directory_path() / "wasabistair-review-XXXXXX").string())
{
    if (::mkdtemp(path_.data()) == nullptr) {
        std::exit(couldNotRun);
    }
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

const std::string &TemporaryFolder::path() const
{
    return path_;
}

std::string CallResult::header(const std::string &name) const
{
    std::istringstream lines(head);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos && lower(line.substr(0, colon)) == lower(name)) {
            const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
            const std::size_t end = line.find_last_not_of(" \t\r");
            return begin == std::string::npos || end < begin ? std::string() : line.substr(begin, end - begin + 1);
        }
    }
    return {};
}

CallResult call(std::uint16_t port, const std::string &text, std::int64_t waitMs)
{
    CallResult result;
    const Connection connection(port);
    result.connected = connection.isOpen();
    result.sent = result.connected && connection.send(text);
    result.sentAtMs = nowMs();
    result.endedAtMs = result.sentAtMs;
    if (!result.sent) {
        result.ended = result.connected;
        return result;
    }
    std::string bytes;
    const std::int64_t end = result.sentAtMs + waitMs;
    while (true) {
        const std::size_t length = answerLength(bytes);
        result.endedAtMs = nowMs();
        if (length > 0 && bytes.size() >= length) {
            const std::size_t headEnd = bytes.find("\r\n\r\n");
            result.head = bytes.substr(0, headEnd + 2);
            result.body = bytes.substr(headEnd + 4, length - headEnd - 4);
            result.status = std::atoi(result.head.substr(9, 3).c_str());
            return result;
        }
        if (result.endedAtMs >= end) {
            return result;
        }
        if (!connection.receive(bytes, end - result.endedAtMs)) {
            result.endedAtMs = nowMs();
            result.ended = true;
            return result;
        }
    }
}

std::string requestText(
    const std::string &method, const std::string &path, const std::string &id, std::int64_t budgetMs, const std::string &body, const std::string &extraHeaders)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(budgetMs) + "\r\n"
        + extraHeaders + (body.empty() ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

Directory lookUp(std::uint16_t lookupPort, const std::string &region, const std::string &zone)
{
    const std::string text = "GET /resolve?name=h.example&region=" + region + "&zone=" + zone + " HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n";
    const CallResult answer = call(lookupPort, text, probeTimeoutMs);
    Directory directory;
    const Json json = answer.status == 200 ? Json::parse(answer.body, nullptr, false) : Json();
    if (!json.is_object()) {
        return directory;
    }
    for (const Json &address : json.value("addresses", Json::array())) {
        const std::string value = address.get<std::string>();
        directory.ports.push_back(static_cast<std::uint16_t>(std::stoi(value.substr(value.find(':') + 1))));
    }
    directory.keepMs = static_cast<std::int64_t>(json.value("ttl-s", 0.0) * static_cast<double>(msPerSecond));
    return directory;
}

Json serverEntry(std::uint16_t port, const std::string &service, const std::string &zone, int slots, const std::string &state)
{
    return {{"address", "127.0.0.1:" + std::to_string(port)}, {"born", 1'785'976'920'000},
        {"info", {{"service", service}, {"version", "v1"}, {"zone", zone}, {"slots", slots}}}, {"status", {{"state", state}, {"seq", 1}, {"cold-left-ms", 0}}}};
}

} // namespace Wasabistair::Review
