#pragma once

#include "base/memorybudget.h"
#include "gateway/attemptsampler.h"
#include "gateway/backendconnection.h"
#include "gateway/eventsplitter.h"
#include "gateway/requestrecord.h"
#include "routing/work.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace Gateway {

class Attempt;

/// Receives the answers to the attempts of one request; see BackendListener.
class AttemptObserver
{
public:
    virtual ~AttemptObserver() = default;
    virtual void answerStarted(Attempt &attempt, const ResponseHead &head) = 0;
    virtual void answerData(Attempt &attempt, std::string_view data) = 0;
    virtual void answerEnded(Attempt &attempt) = 0;
    virtual void attemptFailed(Attempt &attempt, const AttemptFailure &failure) = 0;
};

/// A body together with its memory.
struct HeldBody
{
    std::string text;
    Base::MemoryBudget::Reservation memory;
};

/// One attempt of a request: its placement, its connection and what has arrived of its answer.
class Attempt final : public BackendListener,
                      public Base::MemoryHolder,
                      public std::enable_shared_from_this<Attempt>
{
public:
    /// \a work is the id under which the attempt is placed. \a lastEventId is the id of the last
    /// event that the caller has received. \a observer must outlive the attempt.
    Attempt(AttemptObserver &observer, Routing::WorkId work,
            std::optional<std::uint64_t> lastEventId)
        : work(work)
        , events(lastEventId)
        , m_observer(&observer)
    {}
    ~Attempt() override { cancel(); }
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    /// Whether nothing is read of the answer, since the caller is slow.
    bool isPaused() const { return connection && connection->isPaused(); }
    /// Closes the connection, which makes the server stop working on the attempt.
    void cancel()
    {
        const std::shared_ptr<BackendConnection> it = std::exchange(connection, nullptr);
        if (it)
            it->cancel();
    }

    void answerStarted(const ResponseHead &head) override
    {
        m_observer->answerStarted(*this, head);
    }
    void answerData(std::string_view data) override { m_observer->answerData(*this, data); }
    void answerEnded() override { m_observer->answerEnded(*this); }
    void attemptFailed(const AttemptFailure &failure) override
    {
        record.fault = failure.fault;
        m_observer->attemptFailed(*this, failure);
    }
    bool isIncomplete() const override { return isEventStream && events.hasPartialEvent(); }

    /// Appends \a data to the body; returns whether \a budget has memory for it.
    bool appendBody(std::string_view data, Base::MemoryBudget &budget, Base::TimePoint now);
    /// Whether the body was given up since others needed its memory.
    bool hasGivenWay() const { return m_hasGivenWay; }
    bool giveWay() override
    {
        body.text = {};
        m_hasGivenWay = true;
        return true;
    }

    const Routing::WorkId work;
    std::shared_ptr<BackendConnection> connection;
    AttemptRecord record;
    AttemptSampler sampler;
    ResponseHead head;
    /// What has arrived of an answer that is no stream of events.
    HeldBody body;
    EventSplitter events;
    /// When something arrived last. Later, or in the future, if another server was sought in vain.
    Base::TimePoint quietSince;
    /// When the answer's first event arrived, or its head if it is no stream.
    std::optional<Base::TimePoint> answerBeganAt;
    /// Whether the answer shows that the request does not end servers.
    bool isSound = false;
    /// Whether the dispatcher counts the attempt at its server.
    bool isPlaced = false;
    bool isHeadSeen = false;
    bool isEventStream = false;
    /// Whether an event has arrived.
    bool isStarted = false;
    /// Whether the server has been silent for too long since something arrived last.
    bool isSilent = false;

private:
    AttemptObserver *m_observer;
    bool m_hasGivenWay = false;
};

} // namespace Gateway
