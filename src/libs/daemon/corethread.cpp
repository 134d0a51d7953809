#include "daemon/corethread.h"

#include <utility>

namespace Daemon {

namespace {

constexpr Base::Duration sampleInterval = std::chrono::seconds(1);

} // namespace

CoreThread::CoreThread(std::unique_ptr<Node::Node> node, EventRing &ring, CallerSessions &sessions,
                       ProcessState &state, NodeSampler &sampler)
    : m_node(std::move(node))
    , m_ring(ring)
    , m_sessions(sessions)
    , m_state(state)
    , m_sampler(sampler)
    , m_thread([this] { run(); })
{}

CoreThread::~CoreThread()
{
    m_ring.close();
    m_thread.join();
}

void CoreThread::run()
{
    while (!m_ring.isClosed()) {
        const Base::TimePoint now = Base::Clock::now();
        const Base::TimePoint due = m_node->nextDue();
        if (due <= now) {
            m_node->advance(now);
            handleSessionEvents();
            updateState(now);
            continue;
        }
        const std::optional<Node::Event> event = m_ring.popFor(due - now);
        if (event)
            handle(*event);
    }
}

void CoreThread::handle(const Node::Event &event)
{
    m_node->handle(event, Base::Clock::now());
    handleSessionEvents();
    m_state.isReady = m_node->isReady();
    m_isDrained = m_node->isDrained(Base::Clock::now());
}

void CoreThread::handleSessionEvents()
{
    // Pauses the stream of a session that has just exceeded its limit before the node takes the
    // next part of that stream.
    for (std::vector<Node::Event> events = m_sessions.takeEvents(); !events.empty();
         events = m_sessions.takeEvents()) {
        for (const Node::Event &event : events)
            m_node->handle(event, Base::Clock::now());
    }
}

void CoreThread::updateState(Base::TimePoint now)
{
    m_state.isReady = m_node->isReady();
    m_isDrained = m_node->isDrained(Base::Clock::now());
    if (now < m_nextSample)
        return;
    m_nextSample = now + sampleInterval;
    m_sampler.sampleNode(*m_node);
}

} // namespace Daemon
