#pragma once

#include "gateway/acceptedrequest.h"
#include "gateway/answersink.h"
#include "gateway/attempt.h"
#include "gateway/backendpool.h"
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
    /// Notes that the server of placed work has been silent for too long.
    virtual void workSilent(const std::string &service, Routing::WorkId id) = 0;
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
    /// Finds out whether this host knows all versions at which streams had begun by \a time, which
    /// takes a moment. Exchange::checkTakeUp() is called afterwards.
    virtual void proveVersions(Base::TimePoint time) = 0;
    /// Counts a stream that its caller takes up, or that goes on within its answer.
    virtual void streamResumed(bool isByCaller, Routing::Continuation::Kind kind) = 0;
    /// The memory for answers that are kept until they are whole, and until their callers have read
    /// them.
    virtual Base::MemoryBudget &answerMemory() = 0;
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
///
/// A server that has been silent for long may be lost, or may only pause. Another server is asked
/// for the request meanwhile, and the first one that sends an event or a whole answer is the one
/// whose answer the caller gets. If no other server answers, the silent one is waited for.
class Exchange final : public ActiveRequest,
                       public AttemptObserver,
                       public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ExchangePort &port, AcceptedRequest accepted, AnswerSink &sink);

    void start();
    /// Sends the request to the server of \a placement.
    void placed(const Routing::Placement &placement);
    /// Answers the request with a failure, since the dispatcher has rejected it.
    void rejected(const Routing::Rejection &why);
    /// Goes on with a stream that was taken up, if it is certain now where it may go on.
    void checkTakeUp();
    /// Checks the request's time limits.
    void checkTime(Base::TimePoint now);
    /// Gives the final answer, since the process stops. A caller whose request has not run may come
    /// back after \a retryAfter.
    void endForShutdown(Base::Milliseconds retryAfter);
    bool isFinished() const { return m_state == State::Finished; }
    bool isStream() const { return route().isStream(); }
    /// Whether it is not certain yet where the stream may go on that the request takes up.
    bool waitsForProof() const { return m_state == State::Proving; }
    /// Whether the request was passed on to a server and is not answered yet.
    bool isSent() const { return m_state == State::Sent; }
    Base::TimePoint readAt() const { return m_accepted.request.readAt; }
    /// Whether a silent server may still answer while another one is asked for.
    bool hasSilentAttempt() const { return m_silent != nullptr; }
    const Routing::Work &work() const { return m_accepted.work; }

    void callerGone() override;
    void outputDrained() override;

    void answerStarted(Attempt &attempt, const ResponseHead &head) override;
    void answerData(Attempt &attempt, std::string_view data) override;
    void answerEnded(Attempt &attempt) override;
    void attemptFailed(Attempt &attempt, const AttemptFailure &failure) override;

private:
    /// The first pause between two searches for another server. It doubles each time.
    static constexpr Base::Duration minSeekPause = std::chrono::milliseconds(500);
    /// Bodies up to this size are copied behind their head, and written in one system call.
    static constexpr std::size_t maxCopiedBodyBytes = 16384;
    /// The outcome of a request whose server's whole answer was passed on.
    static constexpr const char *answeredOutcome = "answered";

    /// Whether it is not yet certain which version began the stream, or whether the current attempt
    /// waits for a server or was sent to one.
    enum class State { Proving, Waiting, Sent, Finished };

    const Routing::Route &route() const { return *m_accepted.route; }
    /// Submits a request that takes up a stream, unless it has to wait or must not go on.
    void takeUp();
    void submit();
    void sendTo(const Routing::RegisteredServer &server);
    ForwardedFields forwardedFields(const Routing::RegisteredServer &server) const;
    /// Whether \a server may run the request now, although it was allowed when it was chosen.
    bool mayRunAt(const Routing::RegisteredServer &server);
    void finishAttempt(Attempt &attempt, Routing::AttemptOutcome outcome);
    /// Withdraws the current attempt if it waits, or cancels it if it was sent.
    void cancelAttempt(Routing::AttemptOutcome outcome);
    /// Cancels the silent attempt, if there is one.
    void cancelSilentAttempt(Routing::AttemptOutcome outcome);
    /// Makes the current attempt the silent one, and asks for another server.
    void seekOtherServer();
    /// Makes the silent attempt the current one again.
    void resumeSilentAttempt();
    /// Closes the connection of an attempt whose answer exceeds a limit, and fails the attempt.
    void giveUp(Attempt &attempt, AnswerFault fault);
    /// Makes \a attempt the only one, since its answer is passed on.
    void choose(Attempt &attempt);
    /// Notes that the server of \a attempt may have ended under it.
    void recordServerEnd(const Attempt &attempt, bool isSilence);
    /// Notes that a server answered the request.
    void recordServed();
    /// Notes that the answer to \a attempt came whole or still goes on, which shows after a while
    /// that the request does not end servers.
    void recordAnswer(Attempt &attempt, bool isWhole);
    /// Whether servers have ended under the request, or under a part of its prompt, so often that
    /// it must not be sent any more.
    bool isBlocked();
    /// Gives the final answer of a blocked request.
    void failBlocked();
    const Routing::RequestContent &content();
    /// Handles an attempt that ended without a usable answer: sends the request again, or gives the
    /// final answer.
    void handleFailedAttempt(Attempt &attempt, Routing::AttemptOutcome outcome, bool maybeRan);
    /// Whether the request may be sent again after an attempt with \a outcome. Takes a retry out of
    /// the budget if the retry needs one.
    bool mayRetry(Routing::AttemptOutcome outcome, bool maybeRan);
    void handleWholeAnswer(Attempt &attempt);
    void sendWholeAnswer(Attempt &attempt);
    /// Whether the answer may be passed on. An answer that claims without proof that the request
    /// did not run, or a success without the server's signature, may not.
    bool isAnswerTrusted(const ResponseHead &head) const;
    void forwardEvents(Attempt &attempt, const CompleteEvents &whole);
    /// Whether the request may be sent elsewhere because its server has been silent for too long.
    bool isSilent(Base::TimePoint now) const;
    /// Returns the end of the class's timeout or the caller's deadline, whichever is earlier.
    Base::TimePoint effectiveDeadline() const;
    /// Gives the final answer, unless a silent server may still answer.
    void fail(Failure failure);
    void finish(const char *outcome);
    void logEnd(const char *outcome);
    void logFailedAttempt(const Attempt &attempt, Routing::AttemptOutcome outcome, bool maybeRan,
                          bool retries);

    ExchangePort *m_port;
    AcceptedRequest m_accepted;
    /// The body of the request, moved out of m_accepted.
    std::shared_ptr<const std::string> m_body;
    AnswerSink *m_sink;
    State m_state = State::Waiting;
    std::shared_ptr<Attempt> m_current;
    /// An attempt whose server is silent, while another one is asked for.
    std::shared_ptr<Attempt> m_silent;
    RequestRecord m_record;
    StreamBinding m_binding;
    /// Computed when it is first needed.
    std::optional<Routing::RequestContent> m_content;
    std::vector<Base::ServerId> m_tried;
    /// The id of the last event that the caller has received.
    std::optional<std::uint64_t> m_lastEventId;
    /// The software version that the last submission put on trial; empty if none.
    std::string m_trialVersion;
    /// How long the silent server is waited for before another one is sought again.
    Base::Duration m_seekPause = minSeekPause;
    /// Whether a retry was taken out of the budget for an attempt that was not sent yet.
    bool m_isRetryTaken = false;
    bool m_mayHaveRun = false;
    bool m_isStreamStarted = false;
    bool m_isCallerGone = false;
    /// Whether the request was submitted again because no server had an allowed version.
    bool m_isVersionRetried = false;
};

} // namespace Gateway
