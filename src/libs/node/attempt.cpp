#include "node/attempt.h"

#include "node/nodeconstants.h"
#include "node/serverdirectory.h"

namespace Node {

namespace {

Scheduling::AttemptExecution toAttemptExecution(SendState sent)
{
    switch (sent) {
    case SendState::NeverSent:
        return Scheduling::AttemptExecution::NeverSent;
    case SendState::Refused:
        return Scheduling::AttemptExecution::Refused;
    case SendState::MaybeRan:
        break;
    }
    return Scheduling::AttemptExecution::MaybeRan;
}

} // namespace

BackendRequest backendRequest(const OpenRequest &open, const Server &server)
{
    BackendRequest request;
    request.attempt = open.attemptId();
    request.server = server.id;
    request.address = server.address;
    request.kind = open.callerRequest.kind;
    request.path = open.callerRequest.path;
    request.contentType = open.callerRequest.contentType;
    request.body = open.callerRequest.body;
    request.traceparent = open.callerRequest.traceparent;
    request.idempotencyKey = open.callerRequest.idempotencyKey;
    request.fence = open.fence;
    if (open.nextPart > 0) {
        request.resumeStream = open.streamName;
        request.resumeFrom = open.nextPart;
    }
    return request;
}

Scheduling::FailedAttempt failedAttempt(const OpenRequest &open, const BackendFailed &failed,
                                        Base::TimePoint now)
{
    Scheduling::FailedAttempt attempt;
    attempt.ran = toAttemptExecution(failed.sent);
    attempt.isRepeatable = open.callerRequest.isRepeatable;
    // The answer of a service starts with its status, which is already sent to the caller. The
    // stream of a model starts with its first part.
    const bool isService = open.callerRequest.kind == WorkKind::ServiceCall;
    attempt.isAnswerStarted = open.nextPart > 0 || (isService && open.isAnswerStarted);
    attempt.isStreamResumable =
        open.nextPart > 0 && !open.streamName.empty() && failed.status != streamUnknownStatus;
    attempt.attempts = open.attempt;
    if (open.callerRequest.deadline)
        attempt.deadlineWithin = open.arrivedAt + *open.callerRequest.deadline - now;
    if (failed.retryAfter)
        attempt.serverRetryAfter = *failed.retryAfter;
    return attempt;
}

} // namespace Node
