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

/// Reads the state of the node about once a second on the core's thread, for metrics.
class NodeSampler
{
public:
    virtual ~NodeSampler() = default;
    virtual void sampleNode(const Node::Node &node) = 0;
};

/// The thread that owns the node. It passes events from the ring to the node and advances the
/// node's timers.
///
/// This thread never waits for another thread: whatever the node sends goes into buffers that
/// accept it at once. So a producer that waits for room in the ring never waits forever.
class CoreThread
{
public:
    /// Starts the thread. Calls \a sampler about once a second.
    CoreThread(std::unique_ptr<Node::Node> node, EventRing &ring, CallerSessions &sessions,
               ProcessState &state, NodeSampler &sampler);
    /// Stops the thread at once, even while requests are open.
    ~CoreThread();

    /// Whether the node was told to shut down and every request has got its final answer.
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
    NodeSampler &m_sampler;
    Base::TimePoint m_nextSample{};
    std::atomic<bool> m_isDrained = false;
    std::thread m_thread;
};

} // namespace Daemon
