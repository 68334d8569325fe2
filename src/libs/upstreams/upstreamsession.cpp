#include "upstreamsession.h"

#include <Poco/Net/StreamSocket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Wasabistair::Upstreams {

void UpstreamSession::open(const Base::HostPort &address, int timeoutMs)
{
    ClientSession::open(address, timeoutMs);
    socket().impl()->setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
}

bool UpstreamSession::looksUsable()
{
    return connected() && unreadBytes() == 0 && !socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ | Poco::Net::Socket::SELECT_ERROR);
}

} // namespace Wasabistair::Upstreams
