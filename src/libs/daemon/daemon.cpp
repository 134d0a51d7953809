#include "daemon/daemon.h"

#include "daemon/daemonconstants.h"

#include <random>
#include <utility>

namespace Daemon {

namespace {

/// Returns the microseconds since the epoch. The value grows with each start of a host, as long as
/// its clock is not set back in between.
Base::Incarnation incarnationNow()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<Base::Incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace

Base::Result<std::unique_ptr<Daemon>> Daemon::create(const DaemonSettings &settings,
                                                     const DaemonInstrumentation &instrumentation)
{
    std::unique_ptr<Daemon> daemon(new Daemon(settings));
    Base::Result<void> started = daemon->start(instrumentation);
    if (!started)
        return started.error();
    return daemon;
}

Daemon::Daemon(const DaemonSettings &settings)
    : m_settings(settings)
    , m_incarnation(incarnationNow())
    , m_ring(eventRingCapacity)
    , m_sessions(settings.limits.streamBufferBytes, m_ring)
    , m_random(randomSeed())
{}

Daemon::~Daemon()
{
    // Wakes the threads that wait at the ring; no further event is accepted.
    m_ring.close();
    m_sessions.hangUpAll();
}

void Daemon::beginShutdown(Base::TimePoint now)
{
    if (m_state.isLeaving.exchange(true))
        return;
    m_leavingSince = now;
    m_ring.push(Node::ShutdownRequested{});
}

bool Daemon::advanceShutdown(Base::TimePoint now)
{
    if (!m_leavingSince)
        return false;
    const bool areListsExpired =
        now >= *m_leavingSince + nodeSettings().entryListMaxAge + shutdownMargin;
    m_state.refusesWork = areListsExpired;
    return areListsExpired && m_core->isDrained() && m_sessions.size() == 0;
}

void Daemon::pollHosts()
{
    m_platform->pollHosts();
}

Base::Result<void> Daemon::start(const DaemonInstrumentation &instrumentation)
{
    BOOST_LEAF_ASSIGN(m_peers, GrpcPeerTransport::create(m_settings.host, m_incarnation, m_ring));
    BOOST_LEAF_ASSIGN(m_backends, HttpBackendClient::create(m_ring));
    BOOST_LEAF_ASSIGN(m_platform, PlatformClient::create(m_settings.platformAddress, m_ring));
    BOOST_LEAF_AUTO(node, createNode(instrumentation));
    m_core = std::make_unique<CoreThread>(std::move(node), m_ring, m_sessions, m_state,
                                          instrumentation.sampler);
    seedPeers();
    pollHosts();
    BOOST_LEAF_ASSIGN(m_peerServer,
                      GrpcPeerServer::create(m_settings.host, m_settings.peerAddress, m_ring));
    HttpServerSettings httpSettings;
    httpSettings.address = m_settings.callerAddress;
    httpSettings.connections = m_settings.limits.connections;
    httpSettings.bodyBytes = m_settings.limits.bodyBytes;
    httpSettings.callerMemoryBytes = m_settings.limits.memoryBytes / callerMemoryPart;
    httpSettings.requestIdPrefix =
        m_settings.host.value() + '-' + std::to_string(m_incarnation) + "-x";
    BOOST_LEAF_ASSIGN(m_httpServer, HttpServer::create(httpSettings, m_sessions, m_ring, m_state,
                                                       instrumentation.metrics));
    return {};
}

Base::Result<std::unique_ptr<Node::Node>>
Daemon::createNode(const DaemonInstrumentation &instrumentation)
{
    const Node::Environment environment{m_sessions,  *m_peers,    *m_backends,
                                        *m_platform, *m_platform, instrumentation.observer,
                                        m_random,    m_wallClock};
    return Node::Node::create(nodeSettings(), environment);
}

Node::NodeSettings Daemon::nodeSettings() const
{
    Node::NodeSettings settings;
    settings.self.host = m_settings.host;
    settings.self.incarnation = m_incarnation;
    settings.self.zone = m_settings.zone;
    settings.self.peerAddress = m_settings.peerAddress;
    settings.self.callerAddress = m_settings.callerAddress;
    return settings;
}

void Daemon::seedPeers()
{
    // Version 0 is older than any list from the platform, so the first such list replaces the
    // seeds.
    Storage::HostListing listing;
    for (const SeedRouter &seed : m_settings.seeds) {
        Storage::ListedHost host;
        host.name = seed.host.value();
        host.address = seed.peerAddress;
        listing.hosts.push_back(host);
    }
    m_ring.push(Node::HostListArrived{listing});
}

} // namespace Daemon
