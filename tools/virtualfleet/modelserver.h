#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "virtualfleet/eventqueue.h"
#include "virtualfleet/work.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace VirtualFleet {

struct EngineShape
{
    std::size_t slots = 8;
    Base::Duration timePerToken = std::chrono::milliseconds(25);
    Base::Duration timePerPromptToken = std::chrono::microseconds(100);
    /// Tokens in one part of an answer.
    std::uint32_t tokensPerPart = 8;
};

/// What a client of a model server is told.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual void started() = 0;
    virtual void part(std::uint64_t index, const std::string &payload,
                      Base::ServiceUnits units) = 0;
    virtual void finished(std::uint64_t parts) = 0;
};

/// A model engine that batches continuously: a fixed number of slots, first come, first
/// served, no priorities.
class ModelServer
{
public:
    using Token = std::uint64_t;
    using ServiceListener = std::function<void(const Work &, Base::ServiceUnits)>;

    ModelServer(EventQueue &queue, const EngineShape &shape);

    /// Every start is noted here, by the request's work serial.
    const std::vector<std::uint64_t> &journal() const { return m_journal; }
    void onService(ServiceListener listener) { m_listener = std::move(listener); }

    using StartListener = std::function<void(const Work &)>;
    void onStart(StartListener listener) { m_startListener = std::move(listener); }

    Token submit(const Work &work, AnswerSink *sink);
    /// Sends a stream that still exists to another sink, from one of its parts on.
    bool resume(Token token, AnswerSink *sink, std::uint64_t fromPart);
    void cancel(Token token);
    /// The sink is gone: nothing more is told, the work goes on unless cancelled.
    void detach(Token token);

    std::size_t running() const { return m_running; }
    std::size_t queued() const { return m_waiting.size(); }
    std::size_t slots() const { return m_shape.slots; }

    /// From now on all takes \a factor times as long.
    void setSlowness(double factor) { m_slowness = factor; }
    /// A frozen engine takes requests and answers nothing until thawed.
    void setFrozen(bool isFrozen);

private:
    struct Job
    {
        Work work;
        AnswerSink *sink = nullptr;
        std::uint32_t generated = 0;
        std::uint64_t parts = 0;
        bool isRunning = false;
    };

    void startWaiting();
    void stepAfter(Token token, Base::Duration delay);
    static std::string payload(const Job &job, std::uint64_t index);
    void step(Token token);
    Base::Duration slowed(Base::Duration duration) const;

    EventQueue *m_queue;
    EngineShape m_shape;
    std::map<Token, Job> m_jobs;
    std::deque<Token> m_waiting;
    std::vector<Token> m_stalled;
    std::vector<std::uint64_t> m_journal;
    ServiceListener m_listener;
    StartListener m_startListener;
    std::size_t m_running = 0;
    Token m_last = 0;
    double m_slowness = 1;
    bool m_isFrozen = false;
};

} // namespace VirtualFleet
