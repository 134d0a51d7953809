#include "gateway/backendpool.h"

#include "settings/address.h"

#include <algorithm>
#include <utility>

namespace Gateway {

BackendPool::BackendPool(boost::asio::io_context &io, const HeaderNames &names,
                         std::string &readBuffer)
    : m_io(&io)
    , m_names(&names)
    , m_readBuffer(&readBuffer)
{}

std::shared_ptr<BackendConnection> BackendPool::send(SendOrder order, BackendListener &listener,
                                                     Base::TimePoint now)
{
    const std::string &key = order.server.id.value();
    Peer &peer = m_peers[key];
    std::shared_ptr<BackendConnection> connection = takeIdle(peer, order.isNotRepeatable, now);
    if (!connection) {
        if (peer.all.size() >= m_limit)
            return nullptr;
        connection =
            std::make_shared<BackendConnection>(*m_io, key, *m_names, *m_readBuffer, *this);
        peer.all.push_back(connection);
    }
    const auto address = Settings::parseAddress(order.server.address);
    connection->send(std::move(order.attempt), address ? address->ip : std::string(),
                     address ? address->port : 0, listener, now);
    return connection;
}

std::shared_ptr<BackendConnection> BackendPool::takeIdle(Peer &peer, bool isNotRepeatable,
                                                         Base::TimePoint now)
{
    while (!peer.idle.empty()) {
        BackendConnection *connection = peer.idle.back();
        peer.idle.pop_back();
        if (now < connection->idleUntil() && (!isNotRepeatable || !connection->isStale()))
            return connection->shared_from_this();
        connection->close();
    }
    return nullptr;
}

void BackendPool::checkTime(Base::TimePoint now)
{
    std::erase_if(m_peers, [](const auto &it) { return it.second.all.empty(); });
    std::vector<std::shared_ptr<BackendConnection>> due;
    for (const auto &[key, peer] : m_peers) {
        for (const auto &connection : peer.all) {
            const bool isOld = connection->isIdle() && now >= connection->idleUntil();
            if (isOld || !connection->isConnected())
                due.push_back(connection);
        }
    }
    for (const auto &connection : due) {
        if (connection->isIdle())
            connection->close();
        else
            connection->checkTime(now);
    }
}

void BackendPool::closeIdleConnections(const Base::ServerId &server)
{
    const auto peer = m_peers.find(server.value());
    if (peer == m_peers.end())
        return;
    const std::vector<BackendConnection *> idle = peer->second.idle;
    for (BackendConnection *connection : idle)
        connection->close();
}

void BackendPool::connectionIdle(BackendConnection &connection)
{
    m_peers[connection.serverKey()].idle.push_back(&connection);
}

void BackendPool::connectionClosed(BackendConnection &connection)
{
    const auto it = m_peers.find(connection.serverKey());
    if (it == m_peers.end())
        return;
    Peer &peer = it->second;
    std::erase(peer.idle, &connection);
    std::erase_if(peer.all, [&](const auto &held) { return held.get() == &connection; });
}

} // namespace Gateway
