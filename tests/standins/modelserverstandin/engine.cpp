#include "modelserverstandin/engine.h"

#include <algorithm>
#include <utility>

namespace StandIn {

namespace {

constexpr std::size_t maxLoadSamples = 10000;

} // namespace

Engine::Engine(const EnginePolicy &policy, Faults &faults)
    : m_policy(policy)
    , m_faults(&faults)
    , m_start(
          static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
    , m_thread([this] { run(); })
{}

Engine::~Engine()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

std::string Engine::submit(Generation generation)
{
    const std::lock_guard lock(m_mutex);
    // The start time in the name keeps a stream of a killed server from being resumed at the server
    // that replaces it.
    std::string name = std::to_string(m_start) + "-" + std::to_string(++m_lastNumber);
    auto stream = std::make_shared<Stream>();
    stream->promptLeftMs =
        static_cast<double>(generation.uncachedPromptTokens) * m_policy.msPerPromptToken;
    stream->generation = std::move(generation);
    stream->lastRead = Clock::now();
    m_streams[name] = stream;
    m_queue.push_back(name);
    sampleLoad();
    return name;
}

bool Engine::hasStream(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    return m_streams.count(name) > 0;
}

std::optional<std::string> Engine::event(const std::string &name, std::uint64_t index,
                                         std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    const auto it = m_streams.find(name);
    if (it == m_streams.end())
        return std::nullopt;
    const std::shared_ptr<Stream> stream = it->second;
    m_changed.wait_for(lock, limit,
                       [&] { return stream->generatedEvents > index || stream->isEnded; });
    stream->lastRead = Clock::now();
    if (stream->generatedEvents > index)
        return stream->generation.eventText(index);
    if (stream->isEnded)
        return std::nullopt;
    return std::string();
}

std::uint64_t Engine::eventCount(const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_streams.find(name);
    return it == m_streams.end() ? 0 : it->second->eventCount();
}

bool Engine::cancel(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_streams.find(name);
    if (it == m_streams.end())
        return false;
    end(*it->second, "cancelled");
    m_streams.erase(it);
    std::erase(m_queue, name);
    std::erase(m_running, name);
    sampleLoad();
    m_changed.notify_all();
    return true;
}

EngineLoad Engine::load() const
{
    const std::lock_guard lock(m_mutex);
    const Clock::time_point visibleUntil = Clock::now() - m_policy.loadLag;
    EngineLoad visible;
    for (const LoadSample &sample : m_samples) {
        if (sample.at > visibleUntil)
            break;
        visible = sample.load;
    }
    return visible;
}

void Engine::run()
{
    Clock::time_point next = Clock::now();
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        next = std::max(next + stepTime(), Clock::now());
        m_changed.wait_until(lock, next, [&] { return m_isStopping || Clock::now() >= next; });
        step();
    }
}

void Engine::step()
{
    evictUnread();
    if (m_faults->peek().mode == "frozen")
        return;
    admit();
    for (const std::string &name : m_running)
        advance(*m_streams.at(name));
    std::erase_if(m_running, [this](const auto &name) { return m_streams.at(name)->isEnded; });
    sampleLoad();
    m_changed.notify_all();
}

void Engine::admit()
{
    while (!m_queue.empty() && m_running.size() < m_policy.slots) {
        const std::string name = m_queue.front();
        m_queue.pop_front();
        Stream &stream = *m_streams.at(name);
        stream.isStarted = true;
        stream.generation.onBegin();
        m_running.push_back(name);
    }
}

void Engine::advance(Stream &stream)
{
    if (stream.promptLeftMs > 0) {
        stream.promptLeftMs -= m_policy.msPerToken;
        return;
    }
    ++stream.generatedEvents;
    if (stream.generatedEvents < stream.generation.tokens)
        return;
    // The event of the last token and the event of the usage are sent in the same step.
    stream.generatedEvents = stream.eventCount();
    end(stream, "finished");
}

void Engine::end(Stream &stream, const std::string &state)
{
    if (!stream.isEnded && stream.isStarted)
        stream.generation.onEnd(state);
    stream.isEnded = true;
}

void Engine::evictUnread()
{
    const Clock::time_point oldestRead = Clock::now() - m_policy.keepTime;
    for (auto it = m_streams.begin(); it != m_streams.end();) {
        if (it->second->lastRead >= oldestRead) {
            ++it;
            continue;
        }
        end(*it->second, "cancelled");
        std::erase(m_queue, it->first);
        std::erase(m_running, it->first);
        it = m_streams.erase(it);
    }
}

void Engine::sampleLoad()
{
    const EngineLoad load{m_running.size(), m_queue.size()};
    const bool isSame = !m_samples.empty() && m_samples.back().load.running == load.running
                        && m_samples.back().load.queued == load.queued;
    if (isSame)
        return;
    m_samples.push_back({Clock::now(), load});
    if (m_samples.size() > maxLoadSamples)
        m_samples.pop_front();
}

Engine::Clock::duration Engine::stepTime() const
{
    const FaultPlan fault = m_faults->peek();
    const std::chrono::duration<double, std::milli> normalStep(m_policy.msPerToken);
    const auto stepLength = fault.mode == "slow" ? normalStep + fault.delay : normalStep;
    return std::chrono::duration_cast<Clock::duration>(stepLength);
}

} // namespace StandIn
