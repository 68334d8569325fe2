#pragma once

#include "pipelinedrequests.h"
#include "requestintake.h"

#include <memory>

namespace Wasabistair::Callers {

/// State shared by all connections of the process.
struct SessionContext {
    DispatchContext &pass;
    RequestIntake &intake;
    /// Number of threads that run pipelined requests concurrently with an earlier one of their connection.
    std::atomic<int> &pipelineThreads;
};

/// Serves one connection of a caller until either side closes it.
class CallerSession
{
public:
    CallerSession(SessionContext &context, const Poco::Net::StreamSocket &socket);

    void run();

private:
    /// Reads and answers the next request; false when the connection must be closed.
    bool serveOne();
    /// Forwards @p request to an upstream; starts requests that arrive on the connection meanwhile.
    [[nodiscard]] DispatchResult pass(const CallerRequest &request, PipelinedRequests &pipelined);
    /// Answers the pipelined requests in the order in which they arrived; false when the connection must be closed.
    bool answerPipelined(PipelinedRequests &pipelined);
    /// Sends the answer; false when the connection must be closed. While the process stops, the connection stays open for the @p pipelinedCount requests
    /// that follow this one and are already being served.
    bool answer(const CallerRequest &request, const DispatchResult &result, std::size_t pipelinedCount = 0);
    /// Whether the process stops too soon to take @p request.
    [[nodiscard]] bool mustReject(const CallerRequest &request) const;
    bool sendAnswer(const CallerRequest &request, const DispatchResult &result, bool close);
    /// Rejects a request that could not be read completely, and closes the connection.
    void rejectIncomplete(ReadOutcome outcome, const CallerRequest &request);
    [[nodiscard]] Steering::CallerLimits limits() const;

    SessionContext &context_;
    Http::ByteStream stream_;
    bool firstRequest_ = true;
};

} // namespace Wasabistair::Callers
