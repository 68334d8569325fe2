#include "callerconnection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>

namespace Wasabistair::Callers {

namespace {

constexpr std::int64_t stopPollMs = 200;
constexpr std::int64_t lingerTimeoutMs = 1'000;
constexpr std::size_t maxLingerBytes = 1 << 20;
constexpr std::size_t discardBufferBytes = 16 * 1024;
/// Length of ": " and the line end of a field; the two spaces and the line end of the request line have the same length.
constexpr std::size_t fieldOverheadBytes = 4;

/// Largest number of bytes beyond the header that one receive of the session may return.
constexpr std::uint64_t maxOverreadBytes = 8'192;

std::size_t headerBytes(const Poco::Net::HTTPRequest &request)
{
    std::size_t bytes = request.getMethod().size() + request.getURI().size() + request.getVersion().size() + fieldOverheadBytes;
    for (const auto &[name, value] : request) {
        bytes += name.size() + value.size() + fieldOverheadBytes;
    }
    return bytes;
}

} // namespace

/// HTTP session that exposes the number of received bytes not consumed yet.
class CallerConnection::Session: public Poco::Net::HTTPServerSession
{
public:
    using HTTPServerSession::HTTPServerSession;

    [[nodiscard]] int unreadBytes() const
    {
        return buffered();
    }
};

CallerConnection::CallerConnection(const Poco::Net::StreamSocket &socket, const RequestHandler &handler, const ConnectionLimits &limits,
    const Base::Clock &clock, std::function<bool()> stopping)
    : Poco::Net::TCPServerConnection(socket)
    , handler_(handler)
    , limits_(limits)
    , clock_(clock)
    , stopping_(std::move(stopping))
    , params_(new Poco::Net::HTTPServerParams)
{
    params_->setTimeout(Poco::Timespan(limits_.idleTimeoutMs * Poco::Timespan::MILLISECONDS));
    params_->setKeepAlive(true);
}

void CallerConnection::run()
{
    try {
        Session session(socket(), params_);
        Base::MonotonicMs idleSince = clock_.monotonic();
        while (true) {
            const bool waiting = session.unreadBytes() == 0;
            if (waiting && !socket().poll(Poco::Timespan(stopPollMs * Poco::Timespan::MILLISECONDS), Poco::Net::Socket::SELECT_READ)) {
                if (stopping_() || clock_.monotonic() - idleSince >= limits_.idleTimeoutMs) {
                    return;
                }
                continue;
            }
            if (!serveOne(session)) {
                return;
            }
            idleSince = clock_.monotonic();
        }
    } catch (const Poco::Exception &) {
        // The connection broke, so no answer can be sent.
        return;
    }
}

bool CallerConnection::serveOne(Session &session)
{
    auto &recording = static_cast<Http::RecordingSocketImpl &>(*socket().impl());
    recording.setReceiveDeadline(clock_.monotonic() + limits_.headerTimeoutMs);
    // Coarse bound on what is received; validate() checks the exact header size.
    recording.setReceiveLimit(static_cast<std::uint64_t>(limits_.maxHeaderBytes) + maxOverreadBytes);
    Poco::Net::HTTPServerResponseImpl response(session);
    std::unique_ptr<Poco::Net::HTTPServerRequestImpl> request;
    try {
        request = std::make_unique<Poco::Net::HTTPServerRequestImpl>(response, session, params_.get());
    } catch (const Poco::Net::NoMessageException &) {
        return false;
    } catch (const Poco::TimeoutException &) {
        return false;
    } catch (const Poco::Exception &) {
        const bool tooLarge = recording.isReceiveLimitReached();
        rejectUnparsed(session, tooLarge ? ProblemKind::HeaderTooLarge : ProblemKind::MalformedRequest);
        lingerClose();
        return false;
    }
    recording.setReceiveDeadline(0);
    recording.setReceiveLimit(0);
    response.setVersion(request->getVersion());
    if (const auto problem = validate(*request)) {
        // The framing may be ambiguous, so what follows this request must not be parsed as another one.
        request->setKeepAlive(false);
        CallerExchange exchange(*request, response, recording, clock_, [&session] { return session.unreadBytes(); });
        exchange.answer(Problem{*problem, ExecutionState::NotExecuted});
        lingerClose();
        return false;
    }
    CallerExchange exchange(*request, response, recording, clock_, [&session] { return session.unreadBytes(); });
    handler_(exchange);
    recording.setReceiveDeadline(0);
    if (!exchange.isConnectionReusable()) {
        return false;
    }
    return request->getKeepAlive() && response.getKeepAlive() && !stopping_();
}

std::optional<ProblemKind> CallerConnection::validate(const Poco::Net::HTTPServerRequestImpl &request) const
{
    if (headerBytes(request) > static_cast<std::size_t>(limits_.maxHeaderBytes)) {
        return ProblemKind::HeaderTooLarge;
    }
    return checkRequest(request);
}

void CallerConnection::rejectUnparsed(Session &session, ProblemKind kind)
{
    Poco::Net::HTTPServerResponseImpl response(session);
    const Problem problem{kind, ExecutionState::NotExecuted};
    const std::string body = problemBody(problem);
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(problemStatus(kind)));
    response.set(Http::runHeader, std::string(toString(problem.run)));
    response.setContentType("application/problem+json");
    response.setContentLength(static_cast<std::streamsize>(body.size()));
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setKeepAlive(false);
    response.send() << body << std::flush;
}

void CallerConnection::lingerClose()
{
    // Closing a socket with unread bytes resets the connection, and the reset discards the answer before the caller reads it.
    auto &recording = static_cast<Http::RecordingSocketImpl &>(*socket().impl());
    recording.setReceiveLimit(maxLingerBytes);
    recording.setReceiveDeadline(clock_.monotonic() + lingerTimeoutMs);
    socket().shutdownSend();
    std::array<char, discardBufferBytes> buffer;
    while (socket().receiveBytes(buffer.data(), static_cast<int>(buffer.size())) > 0) {}
}

} // namespace Wasabistair::Callers
