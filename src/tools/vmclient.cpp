#include "vmclient.h"

#include <base/json.h>
#include <http/clientsession.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <mutex>
#include <thread>

namespace Wasabistair::Tools {

namespace {

constexpr std::size_t maxParallelQueries = 32;
constexpr std::size_t maxAnswerBytes = 4 << 20;

} // namespace

std::optional<VmAnswer> queryVm(const Base::HostPort &address, const std::string &path, int timeoutMs)
{
    try {
        const Base::SystemClock clock;
        const Base::MonotonicMs deadline = clock.monotonic() + timeoutMs;
        Http::ClientSession session(clock);
        session.open(address, timeoutMs);
        session.setTimeouts(timeoutMs, timeoutMs);
        Poco::Net::HTTPRequest request("GET", path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setHost(address.host, address.port);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::istream &in = session.receiveHead(response, deadline);
        std::string body;
        if (!session.readBody(in, maxAnswerBytes, deadline, body)) {
            return std::nullopt;
        }
        return VmAnswer{response.getStatus(), Base::readJson(body).value};
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

std::map<std::string, VmAnswer> queryVms(const std::vector<Steering::Vm> &vms, const std::string &path, int timeoutMs)
{
    std::map<std::string, VmAnswer> answers;
    std::mutex mutex;
    std::size_t next = 0;
    const auto work = [&] {
        while (true) {
            std::size_t index = 0;
            {
                const std::lock_guard lock(mutex);
                index = next++;
            }
            if (index >= vms.size()) {
                return;
            }
            const Steering::Vm &vm = vms[index];
            if (auto answer = queryVm({vm.host, vm.port}, path, timeoutMs)) {
                const std::lock_guard lock(mutex);
                answers[vm.id] = std::move(*answer);
            }
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(maxParallelQueries, vms.size()); ++i) {
        threads.emplace_back(work);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return answers;
}

} // namespace Wasabistair::Tools
