#pragma once

#include "gateway/acceptedrequest.h"
#include "gateway/answersink.h"
#include "gateway/attemptsampler.h"
#include "gateway/backendpool.h"
#include "gateway/eventsplitter.h"
#include "gateway/failure.h"
#include "gateway/headernames.h"
#include "gateway/requestmemory.h"
#include "gateway/requestrecord.h"
#include "gateway/streambinding.h"
#include "routing/rollouttraffic.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

class EventLog;
struct EndedRequest;

/// The services of the gateway that an exchange uses.
class ExchangePort
{
public:
    virtual ~ExchangePort() = default;
    /// Submits work for placement. Exchange::placed() or rejected() is called as a result, at
    /// once or later.
    virtual void submitWork(const std::string &service, Routing::Work work) = 0;
    /// Withdraws work that has not been placed yet.
    virtual void withdrawWork(const std::string &service, Routing::WorkId id) = 0;
    /// Notes that the first event of the work has arrived.
    virtual void workStarted(const std::string &service, Routing::WorkId id) = 0;
    /// Notes that an attempt of placed work has ended with \a outcome.
    virtual void workFinished(const std::string &service, Routing::WorkId id,
                              Routing::AttemptOutcome outcome) = 0;
    /// Returns the expected time from placement to the first event of the work.
    virtual Base::Duration expectedStart(const std::string &service, Routing::WorkId id) = 0;
    /// Whether this host has no processor time to spare.
    virtual bool isBusy() = 0;
    /// Takes one retry out of this host's share of the retry budget. Returns false if none is left.
    virtual bool acquireRetry(const std::string &service) = 0;
    /// Returns the server with this id; null if it may not get work any more.
    virtual const Routing::RegisteredServer *server(const Base::ServerId &id) = 0;
    /// Returns the regions in which the request may be handled now.
    virtual Routing::Residency residency(const AcceptedRequest &accepted) = 0;
    /// Returns whether \a server may run the request, or give a part of its prompt, by its region.
    virtual bool isInAllowedRegion(const AcceptedRequest &accepted,
                                   const Routing::RegisteredServer &server) = 0;
    /// Returns the software versions that may run the request now. \a boundTo is the only version
    /// that may go on with its stream, if there is one.
    virtual Routing::VersionRule versionRule(const AcceptedRequest &accepted,
                                             const std::optional<std::string> &boundTo) = 0;
    /// Notes that an attempt was sent to a server of \a softwareVersion.
    virtual void attemptSent(const AcceptedRequest &accepted,
                             const std::string &softwareVersion) = 0;
    /// Notes the end of an attempt that was sent.
    virtual void attemptEnded(const AcceptedRequest &accepted, const ComparedAttempt &attempt) = 0;
    /// Returns the time from placement to the first event of the work at a server that is not slow;
    /// zero if none is known.
    virtual Base::Duration usualStart(const std::string &service, Routing::WorkId id) = 0;
    /// Whether API keys may be used, which requires a configuration that is known to be current.
    virtual bool mayUseKeys() = 0;
    /// Returns what the hosts remember of requests beyond this try.
    virtual RequestMemory &memory() = 0;
    /// Counts a stream that its caller takes up, or that goes on within its answer.
    virtual void streamResumed(bool isByCaller, Routing::Continuation::Kind kind) = 0;
    virtual BackendPool &backends() = 0;
    virtual const HeaderNames &names() = 0;
    virtual EventLog &log() = 0;
    virtual Base::TimePoint now() = 0;
    /// Counts a failed attempt.
    virtual void attemptFailed(Routing::AttemptOutcome outcome) = 0;
    /// Notes that the server sent part of an answer, to any request.
    virtual void serverResponded(const Base::ServerId &server) = 0;
    /// Returns when the server last sent part of an answer; empty if it never has.
    virtual std::optional<Base::TimePoint> lastResponseFrom(const Base::ServerId &server) const = 0;
    /// Returns the remaining time for which the server asked this host to send no requests.
    virtual Base::Duration backoffLeft(const Base::ServerId &server) = 0;
    /// Returns when callers should come back because all servers of the service asked for no
    /// requests; zero if one of them wants requests.
    virtual Base::Milliseconds backoffRetryAfter(const std::string &service) = 0;
    /// Notes that events of a stream were forwarded to their caller.
    virtual void eventsForwarded(std::size_t count) = 0;
    /// Returns the time since a newer configuration came into force on this host.
    virtual Base::Duration configurationAge() = 0;
    /// Counts a request that ended.
    virtual void requestEnded(const EndedRequest &request) = 0;
    /// Releases an exchange that has ended.
    virtual void exchangeFinished(Routing::WorkId id) = 0;
};

/// One request from its acceptance to its final answer, with its attempts, retries and stream.
///
/// Once a byte of an attempt was sent, the attempt may have run, unless the server says that it did
/// not. A request that may have run is only sent again if its class of work is repeatable, and
/// within the class's number of attempts and the fleet's retry budget.
class Exchange final : public ActiveRequest,
                       public BackendListener,
                       public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ExchangePort &port, AcceptedRequest accepted, AnswerSink &sink);

    void start();
    /// Sends the request to the server of \a placement.
    void placed(const Routing::Placement &placement);
    /// Answers the request with a failure, since the dispatcher has rejected it.
    void rejected(const Routing::Rejection &why);
    /// Checks the request's time limits.
    void checkTime(Base::TimePoint now);
    bool isFinished() const { return m_state == State::Finished; }
    bool isStream() const { return route().isStream(); }
    const Routing::Work &work() const { return m_accepted.work; }

    void callerGone() override;
    void outputDrained() override;

    void answerStarted(const ResponseHead &head) override;
    void answerData(std::string_view data) override;
    void answerEnded() override;
    void attemptFailed(const AttemptFailure &failure) override;

private:
    enum class State { Waiting, Sent, Finished };

    const Routing::Route &route() const { return *m_accepted.route; }
    void submit();
    void sendTo(const Routing::RegisteredServer &server);
    ForwardedFields forwardedFields(const Routing::RegisteredServer &server) const;
    /// Whether \a server may run the request now, although it was allowed when it was chosen.
    bool mayRunAt(const Routing::RegisteredServer &server);
    void finishAttempt(Routing::AttemptOutcome outcome);
    void cancelAttempt(Routing::AttemptOutcome outcome);
    /// Notes that the server of the current attempt may have ended under it.
    void recordServerEnd(bool isSilence);
    /// Notes that a server answered the request.
    void recordServed();
    /// Whether servers have ended under the request so often that it must not be sent any more.
    bool isBlocked();
    const Routing::RequestContent &content();
    /// Handles an attempt that ended without a usable answer: sends the request again, or gives the
    /// final answer.
    void handleFailedAttempt(Routing::AttemptOutcome outcome, bool maybeRan);
    /// Whether the request may be sent again after an attempt with \a outcome. Takes a retry out of
    /// the budget if the retry needs one.
    bool mayRetry(Routing::AttemptOutcome outcome, bool maybeRan);
    void handleWholeAnswer();
    /// Whether the answer may be passed on. An answer that claims without proof that the request
    /// did not run, or a success without the server's signature, may not.
    bool isAnswerTrusted() const;
    void forwardEvents(std::string_view data);
    /// Whether the request may be sent elsewhere because its server has been silent for too long.
    bool isSilent(Base::TimePoint now) const;
    /// Returns the end of the class's timeout or the caller's deadline, whichever is earlier.
    Base::TimePoint effectiveDeadline() const;
    void fail(Failure failure);
    void finish(const char *outcome);
    void logEnd(const char *outcome);
    void logFailedAttempt(Routing::AttemptOutcome outcome, bool maybeRan, bool retries);

    ExchangePort *m_port;
    AcceptedRequest m_accepted;
    AnswerSink *m_sink;
    State m_state = State::Waiting;
    std::shared_ptr<BackendConnection> m_connection;
    RequestRecord m_record;
    StreamBinding m_binding;
    /// Computed when it is first needed.
    std::optional<Routing::RequestContent> m_content;
    std::vector<Base::ServerId> m_tried;
    ResponseHead m_head;
    std::string m_body;
    EventSplitter m_events;
    AttemptSampler m_sampler;
    /// The software version that the last submission put on trial; empty if none.
    std::string m_trialVersion;
    Base::TimePoint m_lastDataAt;
    bool m_mayHaveRun = false;
    bool m_isHeadSeen = false;
    bool m_isEventStream = false;
    bool m_isStreamStarted = false;
    bool m_isWorkStarted = false;
    bool m_isCallerGone = false;
    bool m_isPlaced = false;
    /// Whether the request was submitted again because no server had an allowed version.
    bool m_isVersionRetried = false;
};

} // namespace Gateway
