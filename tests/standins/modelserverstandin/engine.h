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

struct EnginePolicy
{
    std::size_t slots = 4;
    double msPerToken = 5;
    double msPerPromptToken = 0.2;
    /// Time a stream runs on, or a finished one is kept, without a reader.
    std::chrono::milliseconds keepTime{3000};
    std::chrono::milliseconds loadLag{200};
};

/// What one request asks the engine to do.
struct Generation
{
    /// Prompt tokens that have to be worked on, those in the prefix cache left out.
    std::uint64_t promptWork = 0;
    std::uint64_t tokens = 0;
    /// Text of each event of the answer; the last one carries the usage.
    std::function<std::string(std::uint64_t)> eventText;
    /// Told when the stream gets a slot.
    std::function<void()> onBegin;
    /// Told "finished" or "cancelled", if it began.
    std::function<void(const std::string &)> onEnd;
};

struct EngineLoad
{
    std::size_t running = 0;
    std::size_t queued = 0;
};

/// A model engine that batches continuously: it admits in the order of arrival, knows no
/// priorities, and makes one token for each stream in a slot at each step.
class Engine
{
public:
    Engine(const EnginePolicy &policy, Faults &faults);
    ~Engine();
    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    /// Returns the stream's name.
    std::string submit(Generation generation);
    bool hasStream(const std::string &name) const;
    /// Waits at most \a limit for event \a index. An empty text: not there yet.
    /// Nothing: the stream was cancelled or never had that event.
    std::optional<std::string> event(const std::string &name, std::uint64_t index,
                                     std::chrono::milliseconds limit);
    /// Number of events of the whole answer; 0 if there is no such stream.
    std::uint64_t eventCount(const std::string &name) const;
    /// Returns whether there was such a stream.
    bool cancel(const std::string &name);
    /// The load as it was a while ago.
    EngineLoad load() const;

private:
    using Clock = std::chrono::steady_clock;
    struct Stream
    {
        Generation generation;
        double promptLeft = 0; ///< In milliseconds of work.
        std::uint64_t made = 0;
        bool isBegun = false;
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
    void dropUnread();
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
    std::uint64_t m_lastName = 0;
    std::uint64_t m_start;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace StandIn
