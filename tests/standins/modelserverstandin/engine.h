#pragma once

#include "common/faults.h"
#include "common/journal.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace StandIn {

/// Speed and limits of an engine.
struct EnginePolicy
{
    /// Number of streams that run at once.
    std::size_t slots = 4;
    /// Length of a step, which generates a token for each running stream.
    double msPerToken = 5;
    double msPerPromptToken = 0.2;
    /// Time for which a stream without a reader runs on, or is kept once it has finished.
    std::chrono::milliseconds keepTime{3000};
    /// Age of the reported load.
    std::chrono::milliseconds loadLag{200};
};

/// The work of one request.
struct Generation
{
    /// Number of prompt tokens that are not in the prefix cache.
    std::uint64_t uncachedPromptTokens = 0;
    /// Number of tokens to generate.
    std::uint64_t tokens = 0;
    /// Returns the text of an event by its index; the last event carries the usage.
    std::function<std::string(std::uint64_t)> eventText;
    /// Called when the stream gets a slot.
    std::function<void()> onBegin;
    /// Called with "finished" or "cancelled" when a stream that got a slot ends.
    std::function<void(const std::string &)> onEnd;
};

/// Number of streams that run, and of those that wait for a slot.
struct EngineLoad
{
    std::size_t running = 0;
    std::size_t queued = 0;
};

/// A model engine with continuous batching: it admits streams in the order of their arrival,
/// without priorities, and generates one token for each running stream at each step. Thread-safe.
class Engine
{
public:
    Engine(const EnginePolicy &policy, Faults &faults);
    ~Engine();
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    /// Queues \a generation and returns the name of its stream.
    std::string submit(Generation generation);
    bool hasStream(const std::string &name) const;
    /// Waits at most \a limit for the event \a index and returns its text. The text is empty if the
    /// event does not exist yet; std::nullopt means that the stream was cancelled or has no such
    /// event.
    std::optional<std::string> event(const std::string &name, std::uint64_t index,
                                     std::chrono::milliseconds limit);
    /// Number of events in the complete answer; 0 if there is no such stream.
    std::uint64_t eventCount(const std::string &name) const;
    /// Ends the stream \a name. Returns false if there is no such stream.
    bool cancel(const std::string &name);
    /// The load as it was EnginePolicy::loadLag ago.
    EngineLoad load() const;

private:
    using Clock = std::chrono::steady_clock;
    struct Stream
    {
        Generation generation;
        double promptLeftMs = 0; ///< Time left to process the prompt.
        std::uint64_t generatedEvents = 0;
        bool isStarted = false;
        bool isEnded = false;
        Clock::time_point lastRead;

        std::uint64_t eventCount() const { return generation.tokens + 1; }
    };
    struct LoadSample
    {
        Clock::time_point at;
        EngineLoad load;
    };

    void run();
    void step();
    void admit();
    void advance(Stream &stream);
    void end(Stream &stream, const std::string &state);
    void evictUnread();
    void sampleLoad();
    Clock::duration stepTime() const;

    EnginePolicy m_policy;
    Faults *m_faults;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::shared_ptr<Stream>> m_streams;
    std::deque<std::string> m_queue;
    std::vector<std::string> m_running;
    std::deque<LoadSample> m_samples;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_start;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace StandIn
