#pragma once

#include <standins/httpserver.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace Wasabistair::Review {

/// The platform's metadata store on loopback. It keeps each spec as the text that its writer sent and never parses it, so that an
/// entry of another writer reaches the VMs byte for byte.
class PlatformStore
{
public:
    PlatformStore();
    ~PlatformStore();

    [[nodiscard]] std::uint16_t port() const;
    /// Writes an object as the operator, a server or another writer does. @p spec is the text of a JSON value, or what a faulty
    /// writer takes for one. Returns the revision of the change; from this moment on it is acknowledged.
    std::uint64_t put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);
    /// While silent, the store answers no call that reaches it, for ever; the watches that wait already are served.
    void setSilent(bool silent);

private:
    struct Object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool removed = false;
        Object object;
    };
    struct Answer {
        int status = 200;
        std::string body;
    };

    /// Whether the call is dropped because the store is silent. Returns only when the store stops if it is.
    [[nodiscard]] bool dropIfSilent();
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    Answer read(const std::string &kind, const std::string &name, const std::map<std::string, std::string> &query);
    Answer list(const std::string &kind, const std::string &after);
    Answer watch(const std::string &kind, std::uint64_t since, std::int64_t waitMs);
    Answer write(const std::string &method, const std::string &kind, const std::string &name, const std::string &body);
    /// Applies a change and wakes the watches. The mutex must be locked.
    std::uint64_t change(const std::string &kind, const std::string &name, bool removed, const std::string &spec);

    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    bool silent_ = false;
    std::uint64_t revision_ = 1;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::vector<Change> history_;
    std::unique_ptr<StandIns::HttpServer> server_;
};

} // namespace Wasabistair::Review
