#include "prober.h"

#include "exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

namespace Wasabistair::Upstreams {

Prober::Prober(const Base::Clock &clock)
    : clock_(clock)
{}

std::size_t Prober::run(const std::vector<ProbeTarget> &targets)
{
    std::size_t probes = 0;
    for (const ProbeTarget &target : targets) {
        if (clock_.monotonic() - target.load->lastAnswer() >= quietMs) {
            probe(target);
            ++probes;
        }
    }
    return probes;
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
        session.receiveResponse(response);
        if (response.get(upstreamStateHeader, "") == "leaving") {
            target.load->observeLeaving(clock_.monotonic(), leavingHoldMs);
        } else {
            target.load->clearLeaving();
        }
        target.load->observeAnswer(clock_.monotonic());
    } catch (const Poco::Exception &) {
        target.load->observeFailure(clock_.monotonic(), failurePauseMs);
    }
}

} // namespace Wasabistair::Upstreams
