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
    request.kind = open.asked.kind;
    request.path = open.asked.path;
    request.contentType = open.asked.contentType;
    request.body = open.asked.body;
    request.traceparent = open.asked.traceparent;
    request.idempotencyKey = open.asked.idempotencyKey;
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
    attempt.isRepeatable = open.asked.isRepeatable;
    // The answer of a service starts with its status, which is already sent to the caller. The
    // stream of a model starts with its first part.
    const bool isService = open.asked.kind == WorkKind::ServiceCall;
    attempt.isAnswerStarted = open.nextPart > 0 || (isService && open.isAnswerStarted);
    attempt.isStreamResumable =
        open.nextPart > 0 && !open.streamName.empty() && failed.status != streamUnknownStatus;
    attempt.attempts = open.attempt;
    if (open.asked.deadline)
        attempt.deadlineWithin = open.arrivedAt + *open.asked.deadline - now;
    if (failed.retryAfter)
        attempt.serverRetryAfter = *failed.retryAfter;
    return attempt;
}

} // namespace Node
