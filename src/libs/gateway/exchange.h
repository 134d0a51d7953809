#pragma once

#include "gateway/answersink.h"
#include "gateway/backendpool.h"
#include "gateway/eventsplitter.h"
#include "gateway/failure.h"
#include "gateway/headernames.h"
#include "routing/routetable.h"
#include "routing/work.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

class EventLog;
struct EndedRequest;

/// What an exchange asks of the gateway that it belongs to.
class ExchangePort
{
public:
    virtual ~ExchangePort() = default;
    /// Leads to ExchangePort::placed() or turnedAway(), at once or later.
    virtual void submitWork(const std::string &service, Routing::Work work) = 0;
    virtual void withdrawWork(const std::string &service, Routing::WorkId id) = 0;
    virtual void workStarted(const std::string &service, Routing::WorkId id) = 0;
    virtual void workFinished(const std::string &service, Routing::WorkId id,
                              Routing::AttemptOutcome outcome) = 0;
    virtual Base::Duration expectedStart(const std::string &service, Routing::WorkId id) = 0;
    /// This host has no processor time to spare.
    virtual bool isBusy() = 0;
    /// Takes a repeat out of this host's share of the retry budget.
    virtual bool takeRepeat(const std::string &service) = 0;
    /// Null if the server may not get work any more.
    virtual const Routing::RegisteredServer *server(const Base::ServerId &id) = 0;
    /// Whether keys may be used: the configuration is known to be current.
    virtual bool mayUseKeys() = 0;
    virtual BackendPool &backends() = 0;
    virtual const HeaderNames &names() = 0;
    virtual EventLog &log() = 0;
    virtual Base::TimePoint now() = 0;
    virtual void attemptFailed(Routing::AttemptOutcome outcome) = 0;
    /// The server said something, to whichever request.
    virtual void heardFrom(const Base::ServerId &server) = 0;
    /// When that was last; empty if it never has.
    virtual std::optional<Base::TimePoint> lastHeardFrom(const Base::ServerId &server) = 0;
    /// Events of a stream went to their caller.
    virtual void eventsForwarded(std::size_t count) = 0;
    virtual void requestEnded(const EndedRequest &request) = 0;
    virtual void exchangeOver(Routing::WorkId id) = 0;
};

/// A request that was found to be in order, with what decided so.
struct AcceptedRequest
{
    Routing::WorkId id = 0;
    CallerRequest request;
    std::string requestId;
    /// Kept, so that a newer configuration does not change the request half-way.
    std::shared_ptr<const Routing::RouteTable> table;
    const Routing::Route *route = nullptr;
    std::string service;
    Base::CustomerId customer;
    Routing::Work work;
    /// The caller waits until then.
    Base::TimePoint deadline;
};

/// One request from its acceptance to its final answer: attempts, repeats, the stream.
///
/// The rule for repeats: a byte that was sent means that the attempt may have run, unless the
/// server says that it did not. What may have run is sent again only if its class may be repeated,
/// within the class's number of attempts and the fleet's retry budget.
class Exchange final : public ActiveRequest,
                       public BackendListener,
                       public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ExchangePort &host, AcceptedRequest accepted, AnswerSink &sink);

    void start();
    void placed(const Routing::Placement &placement);
    void turnedAway(const Routing::TurnedAway &why);
    /// Looks at the request's time limits.
    void checkTime(Base::TimePoint now);
    bool isOver() const { return m_state == State::Over; }
    bool isStream() const { return route().isStream(); }
    const Routing::Work &work() const { return m_accepted.work; }

    void callerGone() override;
    void outputDrained() override;

    void answerStarted(const ResponseHead &head) override;
    void answerData(std::string_view data) override;
    void answerEnded() override;
    void attemptFailed(const AttemptFailure &failure) override;

private:
    enum class State { Waiting, Sent, Over };

    const Routing::Route &route() const { return *m_accepted.route; }
    bool isStreaming() const { return m_isStreamStarted; }
    void submit();
    void sendTo(const Routing::RegisteredServer &server);
    ForwardedFields forwardedFields(const Routing::RegisteredServer &server) const;
    void endAttempt(Routing::AttemptOutcome outcome);
    void dropAttempt(Routing::AttemptOutcome outcome);
    /// The attempt is over without an answer: sends again, or gives the final answer.
    void afterFailure(Routing::AttemptOutcome outcome, bool maybeRan);
    bool mayRepeat(Routing::AttemptOutcome outcome, bool maybeRan);
    void takeAnswer();
    bool isAnswerTrue() const;
    void passEvents(std::string_view data);
    bool isSilent(Base::TimePoint now) const;
    Base::Duration patience() const;
    Base::TimePoint endBy() const;
    void fail(Failure failure);
    void finish(const char *outcome);
    void logEnd(const char *outcome);
    void logFailedAttempt(Routing::AttemptOutcome outcome, bool maybeRan, bool repeats);

    ExchangePort *m_port;
    AcceptedRequest m_accepted;
    AnswerSink *m_sink;
    State m_state = State::Waiting;
    std::shared_ptr<BackendConnection> m_connection;
    Base::ServerId m_server;
    Routing::PlacementInputs m_inputs;
    Base::ServerId m_fetchFrom;
    std::optional<Routing::TurnedAway> m_turnedAway;
    std::vector<Base::ServerId> m_tried;
    ResponseHead m_head;
    std::string m_body;
    EventSplitter m_events;
    std::optional<std::uint64_t> m_firstLastId;
    Base::TimePoint m_acceptedAt;
    Base::TimePoint m_sentAt;
    Base::TimePoint m_heardAt;
    Base::TimePoint m_firstEventAt;
    Base::Duration m_expectedStart{};
    std::size_t m_eventCount = 0;
    unsigned m_status = 0;
    /// Attempts that may have run, and attempts in all.
    unsigned m_runs = 0;
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
