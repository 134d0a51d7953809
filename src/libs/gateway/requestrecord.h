#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/acceptedrequest.h"
#include "gateway/answerfault.h"
#include "gateway/eventlog.h"
#include "gateway/failure.h"
#include "routing/streamorigins.h"
#include "routing/work.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Gateway {

/// Where an attempt was sent, and why.
struct AttemptRecord
{
    Base::ServerId server;
    std::string softwareVersion;
    Routing::PlacementInputs inputs;
    Base::ServerId fetchFrom;
    /// The number of the connection (BackendConnection::number()); 0 if there was none.
    std::uint64_t connection = 0;
    Base::TimePoint sentAt;
    Base::Duration expectedStart{};
    /// The server's remaining backoff when the attempt began.
    Base::Duration backoffLeft{};
    /// Why the answer was given up, if it was.
    AnswerFault fault = AnswerFault::None;
    /// The answer has neither a length nor chunks.
    bool endsWithConnection = false;
};

/// What has happened to a request so far, for decisions and for the log.
struct RequestRecord
{
    /// The attempt whose failure is logged, or that brought the answer.
    AttemptRecord attempt;
    std::optional<Routing::Rejection> rejection;
    Base::TimePoint firstEventAt;
    Base::TimePoint lastEventAt;
    Base::Duration longestPause{};
    /// The number of events that were forwarded.
    std::size_t events = 0;
    /// The status that the caller got; 0 if none.
    unsigned status = 0;
    /// The number of attempts that may have run, and of all attempts.
    unsigned possibleRuns = 0;
    unsigned sends = 0;
    /// The part of the prompt for which the request must not be sent.
    std::optional<std::uint64_t> blockedPart;
    /// Where a stream may go on that its caller takes up; empty for other requests.
    std::optional<Routing::Continuation::Kind> continuation;
    /// The caller's connection was closed before its answer was complete.
    bool isCutOff = false;
};

/// An attempt without a usable answer.
struct FailedAttempt
{
    Routing::AttemptOutcome outcome = Routing::AttemptOutcome::Broken;
    bool maybeRan = false;
    bool isRepeated = false;
    /// How many servers have ended under the request.
    unsigned serverEnds = 0;
};

/// Returns a digest or the hash of a part of a prompt as logs name it.
std::string hexText(std::uint64_t hash);
/// Returns the log line of a request that was answered without an exchange.
LogLine refusedLine(const AcceptedRequest &accepted, const Failure &failure,
                    std::uint64_t configurationVersion);
/// Returns the log line of a failed attempt. \a content is the digest of the request's content.
LogLine attemptFailedLine(const AcceptedRequest &accepted, const RequestRecord &record,
                          const FailedAttempt &failed, std::uint64_t content, Base::TimePoint now);
/// What is logged of the end of a request beside its record.
struct RequestEnd
{
    const char *outcome = "";
    /// The digest of the request's content.
    std::uint64_t content = 0;
    /// The time since a newer configuration came into force on this host.
    Base::Duration configurationAge{};
};

/// Returns the log line of the end of a request.
LogLine requestEndLine(const AcceptedRequest &accepted, const RequestRecord &record,
                       const RequestEnd &end, Base::TimePoint now);

} // namespace Gateway
