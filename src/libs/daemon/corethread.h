#pragma once

#include "base/result.h"
#include "daemon/callersessions.h"
#include "daemon/eventring.h"
#include "daemon/processstate.h"
#include "node/node.h"

#include <functional>
#include <memory>
#include <optional>
#include <thread>

namespace Daemon {

/// Hears, on the core's thread, how the node stands; for metrics.
class NodeWatcher
{
public:
    virtual ~NodeWatcher() = default;
    virtual void nodeChanged(const Node::Node &node) = 0;
};

/// The one thread that owns the node: takes events from the ring, and the time to it.
///
/// Never waits for another thread: what the node sends goes into buffers that take it at once.
/// So no producer that waits at the ring can wait for ever.
class CoreThread
{
public:
    /// Starts the thread. \a sampler is told about the node once a second.
    CoreThread(std::unique_ptr<Node::Node> node, EventRing &ring, CallerSessions &sessions,
               ProcessState &state, NodeWatcher &sampler);
    /// Stops at once, whatever is open.
    ~CoreThread();

    /// Whether the node was told to leave and has given every request its final answer.
    bool isDrained() const { return m_isDrained; }

private:
    void run();
    void handle(const Node::Event &event);
    void handleSessionEvents();
    void updateState(Base::TimePoint now);

    std::unique_ptr<Node::Node> m_node;
    EventRing &m_ring;
    CallerSessions &m_sessions;
    ProcessState &m_state;
    NodeWatcher &m_sampler;
    Base::TimePoint m_nextSample{};
    std::atomic<bool> m_isDrained = false;
    std::thread m_thread;
};

} // namespace Daemon
