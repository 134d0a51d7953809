#pragma once

#include "base/random.h"
#include "base/result.h"
#include "daemon/callersessions.h"
#include "daemon/corethread.h"
#include "daemon/daemonsettings.h"
#include "daemon/eventring.h"
#include "daemon/grpcpeerserver.h"
#include "daemon/grpcpeertransport.h"
#include "daemon/httpbackendclient.h"
#include "daemon/httpserver.h"
#include "daemon/platformclient.h"
#include "daemon/processstate.h"
#include "node/nodesettings.h"

#include <memory>

namespace Daemon {

/// Wall-clock time of this host.
class HostWallClock final : public Node::WallClock
{
public:
    Base::WallTime now() const override { return std::chrono::system_clock::now(); }
};

/// Where the daemon reports its logs, metrics and traces. The referenced objects must outlive the
/// daemon.
struct DaemonInstrumentation
{
    Node::NodeObserver &observer;
    NodeSampler &sampler;
    MetricsPage &metrics;
};

/// One router process: the node together with all its threads.
class Daemon
{
public:
    /// Creates the daemon and starts to serve. Fails with MalformedAddress, CannotListen,
    /// WatcherUnavailable, ClientUnavailable or an error of the node's parts.
    static Base::Result<std::unique_ptr<Daemon>>
    create(const DaemonSettings &settings, const DaemonInstrumentation &instrumentation);
    ~Daemon();

    /// Starts to leave the fleet. May be called on any thread. New work is still accepted while
    /// callers may hold an old list of entry hosts. Further calls have no effect.
    void beginShutdown(Base::TimePoint now);
    /// Goes on with the shutdown, if it has begun: refuses new work once no caller's list of entry
    /// hosts names this host any more, since callers that stay would keep it from ending. Returns
    /// whether the process may exit without cutting off a caller.
    bool advanceShutdown(Base::TimePoint now);
    /// Requests the host list from the platform. Must be called every hostListInterval.
    void pollHosts();

    std::uint16_t callerPort() const { return m_httpServer->port(); }
    std::uint16_t peerPort() const { return m_peerServer->port(); }
    /// Returns the bytes sent to other routers so far, by kind of traffic.
    GrpcPeerTransport::Totals controlBytes() const { return m_peers->totals(); }

private:
    explicit Daemon(const DaemonSettings &settings);
    Base::Result<void> start(const DaemonInstrumentation &instrumentation);
    Base::Result<std::unique_ptr<Node::Node>>
    createNode(const DaemonInstrumentation &instrumentation);
    Node::NodeSettings nodeSettings() const;
    void seedPeers();

    const DaemonSettings m_settings;
    const Base::Incarnation m_incarnation;
    EventRing m_ring;
    ProcessState m_state;
    CallerSessions m_sessions;
    HostWallClock m_wallClock;
    Base::SeededRandom m_random;
    std::optional<Base::TimePoint> m_leavingSince;
    // The order matters: the members are destroyed in reverse, so that each thread ends before the
    // objects that it uses.
    std::unique_ptr<GrpcPeerTransport> m_peers;
    std::unique_ptr<HttpBackendClient> m_backends;
    std::unique_ptr<PlatformClient> m_platform;
    std::unique_ptr<CoreThread> m_core;
    std::unique_ptr<GrpcPeerServer> m_peerServer;
    std::unique_ptr<HttpServer> m_httpServer;
};

} // namespace Daemon
