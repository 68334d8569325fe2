#include "prober.h"

#include "exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace Wasabistair::Upstreams {

Prober::Prober(const Base::Clock &clock)
    : clock_(clock)
{}

std::size_t Prober::run(const std::vector<ProbeTarget> &targets)
{
    std::vector<const ProbeTarget *> due;
    const Base::MonotonicMs now = clock_.monotonic();
    for (const ProbeTarget &target : targets) {
        if (now - target.load->lastAnswer() >= minIdleMs && !target.load->isBlocked(now)) {
            due.push_back(&target);
        }
    }
    std::atomic<std::size_t> next{0};
    const auto probeDueTargets = [&] {
        for (std::size_t i = next.fetch_add(1); i < due.size(); i = next.fetch_add(1)) {
            probe(*due[i]);
        }
    };
    std::vector<std::thread> workers;
    for (std::size_t i = 1; i < std::min(maxParallel, due.size()); ++i) {
        workers.emplace_back(probeDueTargets);
    }
    probeDueTargets();
    for (std::thread &worker : workers) {
        worker.join();
    }
    return due.size();
}

void Prober::probe(const ProbeTarget &target)
{
    try {
        UpstreamSession session(clock_);
        session.open(target.address, probeTimeoutMs);
        session.setTimeouts(probeTimeoutMs, probeTimeoutMs);
        Poco::Net::HTTPRequest request("GET", "/health", Poco::Net::HTTPRequest::HTTP_1_1);
        request.setHost(target.address.host, target.address.port);
        request.setContentLength(0);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        session.receiveHead(response, clock_.monotonic() + probeTimeoutMs);
        if (response.get(upstreamStateHeader, "") == "leaving") {
            target.load->observeLeaving(clock_.monotonic(), leavingValidMs);
        } else {
            target.load->clearLeaving();
        }
        target.load->observeAnswer(clock_.monotonic());
    } catch (const Poco::Exception &) {
        target.load->observeFailure(clock_.monotonic(), failureBackoffMs);
    }
}

} // namespace Wasabistair::Upstreams
