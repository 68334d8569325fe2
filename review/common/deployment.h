#pragma once

#include "platformstore.h"
#include "record.h"

#include <standins/scriptedupstream.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Wasabistair::Review {

/// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// Whether the case runs with its disruption: TROUBLE is not 0.
[[nodiscard]] bool isTroubled();
void sleepMs(std::int64_t milliseconds);

/// The start of a server; ids and addresses are new with each.
struct ServerEntry {
    std::string id;
    std::string service;
    std::string zone;
    std::uint16_t port = 0;
    std::string state = "ready";

    bool operator==(const ServerEntry &) const = default;
};

/// The text that a server writes to the store.
[[nodiscard]] std::string serverSpec(const ServerEntry &server);
[[nodiscard]] nlohmann::json routeSpec(const std::string &prefix, const std::string &kind, const std::string &service);
[[nodiscard]] std::string manifestSpec(int version, const nlohmann::json &routes, const std::vector<std::string> &services);

/// What a client got for a request.
struct ClientAnswer {
    /// 0 when the connection could not be made or ended without a complete answer.
    int status = 0;
    /// Status line and headers.
    std::string head;
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const;
};

/// A machine of the class front with a loopback address of its own, on which the program of the deploy file runs. The platform
/// starts it again after it has ended.
class Machine
{
public:
    Machine(std::string name, std::string zone, std::string ip, std::string directory);
    ~Machine();
    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;

    void writeSettings(std::uint16_t storePort, const std::string &seeds) const;
    void start();
    void signal(int number) const;
    /// Whether the process has ended since the last call; @p cause then says how.
    bool takeEnd(std::string &cause);
    [[nodiscard]] bool isRunning() const;
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] const std::string &name() const;
    [[nodiscard]] const std::string &ip() const;
    /// Sends one request on a new connection and reads its answer.
    [[nodiscard]] ClientAnswer send(const std::string &method, const std::string &path, const std::string &id, const std::string &body = "") const;

private:
    const std::string name_;
    const std::string zone_;
    const std::string ip_;
    const std::string directory_;
    pid_t pid_ = -1;
};

/// A small deployment: the store and three machines in three zones of three regions, which know the first manifest.
class Deployment
{
public:
    explicit Deployment(Record &record);
    ~Deployment();

    [[nodiscard]] PlatformStore &store();
    [[nodiscard]] std::vector<std::unique_ptr<Machine>> &machines();
    /// Starts all machines; false if they are not all ready in time.
    bool start();

private:
    Record &record_;
    const std::string directory_;
    PlatformStore store_;
    std::vector<std::unique_ptr<Machine>> machines_;
};

/// Runs @p play with a record file at the path that @p arguments names, and returns the exit code of the case.
int runCase(int argumentCount, char **arguments, int (*play)(Record &record));

} // namespace Wasabistair::Review
