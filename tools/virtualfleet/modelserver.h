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

/// Size and speed of a model engine.
struct EngineShape
{
    /// Requests that run at once.
    std::size_t slots = 8;
    /// Time to generate one token.
    Base::Duration timePerToken = std::chrono::milliseconds(25);
    /// Time to read one token of the prompt.
    Base::Duration timePerPromptToken = std::chrono::microseconds(100);
    /// Generated tokens in one part of an answer; the first part holds one token.
    std::uint32_t tokensPerPart = 8;
};

/// Receives the answer of a model server to one request.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual void started() = 0;
    /// Delivers part number \a index, counted from 0. \a units is the service that the part took;
    /// it is 0 for a part that resume() repeats.
    virtual void part(std::uint64_t index, const std::string &payload,
                      Base::ServiceUnits units) = 0;
    /// Ends an answer of \a parts parts.
    virtual void finished(std::uint64_t parts) = 0;
};

/// A fake model engine with continuous batching: it has a fixed number of slots and takes requests
/// into them in order of arrival, without priorities.
class ModelServer
{
public:
    using Token = std::uint64_t;
    using ServiceListener = std::function<void(const Work &, Base::ServiceUnits)>;

    ModelServer(EventQueue &queue, const EngineShape &shape);

    /// Returns the Work::serial of every request that the engine started, in order of the starts.
    const std::vector<std::uint64_t> &startedSerials() const { return m_startedSerials; }
    /// Calls \a listener with the units of every part that the engine generates.
    void onService(ServiceListener listener) { m_serviceListener = std::move(listener); }

    using StartListener = std::function<void(const Work &)>;
    /// Calls \a listener whenever a request takes a slot.
    void onStart(StartListener listener) { m_startListener = std::move(listener); }

    /// Adds \a work to the queue and returns the token that names its stream from now on.
    Token submit(const Work &work, AnswerSink *sink);
    /// Sends the stream \a token to another sink, from part \a fromPart on. Returns false if the
    /// stream has ended or has not come to that part yet.
    bool resume(Token token, AnswerSink *sink, std::uint64_t fromPart);
    /// Ends the stream \a token and frees its slot.
    void cancel(Token token);
    /// Forgets the sink of \a token. The work continues unless it is cancelled.
    void detach(Token token);

    std::size_t running() const { return m_running; }
    std::size_t queued() const { return m_waiting.size(); }
    std::size_t slots() const { return m_shape.slots; }

    /// Makes every step of the engine that is scheduled from now on take \a factor times as long.
    void setSlowness(double factor) { m_slowness = factor; }
    /// Freezes or thaws the engine. A frozen engine accepts requests and answers nothing.
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

    /// Moves waiting requests into free slots.
    void startWaiting();
    void stepAfter(Token token, Base::Duration delay);
    static std::string payload(const Job &job, std::uint64_t index);
    /// Generates the next part of a running request and schedules the one after it, or ends it.
    void step(Token token);
    Base::Duration slowed(Base::Duration duration) const;

    EventQueue *m_queue;
    EngineShape m_shape;
    std::map<Token, Job> m_jobs;
    std::deque<Token> m_waiting;
    std::vector<Token> m_stalledTokens;
    std::vector<std::uint64_t> m_startedSerials;
    ServiceListener m_serviceListener;
    StartListener m_startListener;
    std::size_t m_running = 0;
    Token m_lastToken = 0;
    double m_slowness = 1;
    bool m_isFrozen = false;
};

} // namespace VirtualFleet
