#pragma once

#include "gateway/answersink.h"
#include "gateway/backendpool.h"
#include "gateway/eventsplitter.h"
#include "gateway/failure.h"
#include "gateway/headernames.h"
#include "routing/crashhistory.h"
#include "routing/routetable.h"
#include "routing/streamorigins.h"
#include "routing/work.h"

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
    /// Whether API keys may be used, which requires a configuration that is known to be current.
    virtual bool mayUseKeys() = 0;
    /// Returns where a stream may go on that its caller takes up.
    virtual Routing::Continuation continuation(const std::string &service,
                                               const std::optional<Routing::StreamId> &stream) = 0;
    /// Counts a stream that its caller takes up, or that goes on within its answer.
    virtual void streamResumed(bool isByCaller, Routing::Continuation::Kind kind) = 0;
    /// Notes that the first event of a stream was forwarded.
    virtual void streamBegun(Routing::StreamId stream, const Routing::StreamOrigin &origin) = 0;
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
    /// Returns which requests were running when servers ended.
    virtual const Routing::CrashHistory &crashes() = 0;
    /// Notes that the server of an attempt may have ended under \a content.
    virtual void serverMayHaveEnded(const Routing::RequestContent &content,
                                    const Routing::ServerEnd &end) = 0;
    /// Notes that a server answered \a content.
    virtual void contentServed(const Routing::RequestContent &content) = 0;
    /// Returns the remaining time for which the server asked this host to send no requests.
    virtual Base::Duration backoffLeft(const Base::ServerId &server) = 0;
    /// Returns when callers should come back because all servers of the service asked for no
    /// requests; zero if one of them wants requests.
    virtual Base::Milliseconds backoffRetryAfter(const std::string &service) = 0;
    /// Notes that events of a stream were forwarded to their caller.
    virtual void eventsForwarded(std::size_t count) = 0;
    /// Counts a request that ended.
    virtual void requestEnded(const EndedRequest &request) = 0;
    /// Releases an exchange that has ended.
    virtual void exchangeFinished(Routing::WorkId id) = 0;
};

/// A request that passed validation, with the data that validation determined.
struct AcceptedRequest
{
    Routing::WorkId id = 0;
    CallerRequest request;
    std::string requestId;
    /// The configuration that the request was accepted under. The request keeps it, so that a newer
    /// one does not change the handling of a request in progress.
    std::shared_ptr<const Routing::RouteTable> table;
    const Routing::Route *route = nullptr;
    std::string service;
    Base::CustomerId customer;
    Routing::Work work;
    /// The caller stops waiting at this time.
    Base::TimePoint deadline;
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
    bool isStreaming() const { return m_isStreamStarted; }
    void submit();
    /// Limits a stream that its caller takes up to the servers that may go on with it. Returns
    /// false if they are not known.
    bool determineContinuation();
    /// Notes the software version that the rest of the stream needs.
    void recordStreamBegun();
    void sendTo(const Routing::RegisteredServer &server);
    ForwardedFields forwardedFields(const Routing::RegisteredServer &server) const;
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
    /// Returns the digest of the request's content for the log.
    std::string contentText();
    void logEnd(const char *outcome);
    void logFailedAttempt(Routing::AttemptOutcome outcome, bool maybeRan, bool retries);

    ExchangePort *m_port;
    AcceptedRequest m_accepted;
    AnswerSink *m_sink;
    State m_state = State::Waiting;
    std::shared_ptr<BackendConnection> m_connection;
    Base::ServerId m_server;
    /// The software version of the server to which the last attempt was sent.
    std::string m_softwareVersion;
    /// The software version that began the stream; empty before the first event.
    std::optional<std::string> m_streamVersion;
    /// The stream's id; empty if the caller takes up a stream that it does not name.
    std::optional<Routing::StreamId> m_stream;
    Routing::PlacementInputs m_inputs;
    Base::ServerId m_fetchFrom;
    std::optional<Routing::Rejection> m_rejection;
    /// Computed when it is first needed.
    std::optional<Routing::RequestContent> m_content;
    std::vector<Base::ServerId> m_tried;
    ResponseHead m_head;
    std::string m_body;
    EventSplitter m_events;
    /// Id of the last event that the caller has, if it resumes a stream.
    std::optional<std::uint64_t> m_resumeAfterId;
    Base::TimePoint m_acceptedAt;
    Base::TimePoint m_sentAt;
    Base::TimePoint m_lastDataAt;
    Base::TimePoint m_firstEventAt;
    Base::TimePoint m_lastEventAt;
    Base::Duration m_longestPause{};
    Base::Duration m_expectedStart{};
    /// The server's remaining backoff when the attempt began.
    Base::Duration m_backoffLeft{};
    std::size_t m_eventCount = 0;
    unsigned m_status = 0;
    /// Number of attempts that may have run, and number of all attempts.
    unsigned m_possibleRuns = 0;
    unsigned m_sends = 0;
    bool m_mayHaveRun = false;
    bool m_isHeadSeen = false;
    bool m_isEventStream = false;
    bool m_isStreamStarted = false;
    bool m_isWorkStarted = false;
    bool m_isCallerGone = false;
    bool m_isPlaced = false;
};

} // namespace Gateway
