#include "gateway/backendpool.h"

#include "gateway/servernotice.h"
#include "settings/address.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace Gateway {

namespace {

/// By then, the kernel of a server process that has ended has closed all its connections.
constexpr Base::Duration endSettleTime = std::chrono::milliseconds(20);

} // namespace

BackendPool::BackendPool(boost::asio::io_context &io, const HeaderNames &names,
                         std::string &readBuffer, ServerObserver &observer)
    : m_io(&io)
    , m_names(&names)
    , m_readBuffer(&readBuffer)
    , m_observer(&observer)
{}

std::shared_ptr<BackendConnection> BackendPool::send(SendParameters parameters,
                                                     BackendListener &listener, Base::TimePoint now)
{
    const std::string &key = parameters.server.id.value();
    ServerConnections &pooled = m_connections[key];
    std::shared_ptr<BackendConnection> connection = takeIdleConnection(pooled, parameters, now);
    if (!connection) {
        // The idle connections that are left have carried the request.
        if (pooled.all.size() >= m_limit && !pooled.idle.empty())
            pooled.idle.front()->close();
        if (pooled.all.size() >= m_limit)
            return nullptr;
        connection =
            std::make_shared<BackendConnection>(*m_io, key, *m_names, *m_readBuffer, *this);
        pooled.all.push_back(connection);
    }
    const auto address = Settings::parseAddress(parameters.server.address);
    connection->send(std::move(parameters.attempt), address ? address->ip : std::string(),
                     address ? address->port : 0, listener, now);
    return connection;
}

std::shared_ptr<BackendConnection> BackendPool::takeIdleConnection(ServerConnections &pooled,
                                                                   const SendParameters &parameters,
                                                                   Base::TimePoint now)
{
    // Closing a connection removes it from the list.
    for (std::size_t i = pooled.idle.size(); i-- > 0;) {
        BackendConnection *connection = pooled.idle[i];
        // A second copy of the answer to the first sending would pass for the one to the next.
        if (connection->hasCarried(parameters.attempt.requestId))
            continue;
        const bool isUsable = now < connection->idleUntil()
                              && (!parameters.isNotRepeatable || !connection->isStale());
        if (!isUsable) {
            connection->close();
            continue;
        }
        pooled.idle.erase(pooled.idle.begin() + static_cast<std::ptrdiff_t>(i));
        return connection->shared_from_this();
    }
    return nullptr;
}

void BackendPool::checkTime(Base::TimePoint now)
{
    std::erase_if(m_connections, [](const auto &it) { return it.second.all.empty(); });
    std::vector<std::shared_ptr<BackendConnection>> toCheck;
    std::vector<std::shared_ptr<BackendConnection>> unread;
    for (const auto &[key, pooled] : m_connections) {
        for (const auto &connection : pooled.all) {
            const bool isExpired = connection->isIdle() && now >= connection->idleUntil();
            if (isExpired || !connection->isConnected())
                toCheck.push_back(connection);
            if (connection->isEndUnread())
                unread.push_back(connection);
        }
    }
    for (const auto &connection : toCheck) {
        if (connection->isIdle())
            connection->close();
        else
            connection->checkTime(now);
    }
    for (const auto &connection : unread)
        doubtEnd(connection);
    settleEnds(now);
}

void BackendPool::settleEnds(Base::TimePoint now)
{
    std::vector<std::pair<std::shared_ptr<BackendConnection>, bool>> settled;
    std::erase_if(m_doubtedEnds, [&](DoubtedEnd &it) {
        if (!it.connection->isEndUnsettled())
            return true;
        const std::optional<bool> verdict = isWhole(it, now);
        if (verdict)
            settled.emplace_back(it.connection, *verdict);
        return verdict.has_value();
    });
    // Settling an end may bring about others.
    for (const auto &[connection, verdict] : settled)
        connection->settleEnd(verdict);
}

std::optional<bool> BackendPool::isWhole(DoubtedEnd &end, Base::TimePoint now)
{
    if (std::ranges::any_of(end.witnesses, [](const auto &it) { return it->isOpening(); }))
        return std::nullopt;
    if (!end.settleAt)
        end.settleAt = now + endSettleTime;
    if (now < *end.settleAt && !end.witnesses.empty())
        return std::nullopt;
    if (std::ranges::any_of(end.witnesses, [](const auto &it) { return !it->isEnded(); }))
        return true;
    if (end.isProbed)
        return false;
    probe(end);
    end.settleAt.reset();
    return std::nullopt;
}

void BackendPool::probe(DoubtedEnd &end)
{
    end.isProbed = true;
    auto &all = m_connections[end.connection->serverKey()].all;
    const auto opening = std::ranges::find_if(all, [&](const auto &it) {
        return it->isOpening() && it->server() == end.connection->server();
    });
    if (opening != all.end()) {
        end.witnesses.push_back(*opening);
        return;
    }
    const auto opened = std::make_shared<BackendConnection>(*m_io, end.connection->serverKey(),
                                                            *m_names, *m_readBuffer, *this);
    all.push_back(opened);
    end.witnesses.push_back(opened);
    opened->open(end.connection->server());
}

void BackendPool::closeIdleConnections(const Base::ServerId &server)
{
    const auto pooled = m_connections.find(server.value());
    if (pooled == m_connections.end())
        return;
    const std::vector<BackendConnection *> idle = pooled->second.idle;
    for (BackendConnection *connection : idle)
        connection->close();
}

void BackendPool::withdrawUnsent(const Base::ServerId &server)
{
    const auto pooled = m_connections.find(server.value());
    if (pooled == m_connections.end())
        return;
    const std::vector<std::shared_ptr<BackendConnection>> all = pooled->second.all;
    for (const std::shared_ptr<BackendConnection> &connection : all)
        connection->withdrawUnsent();
}

void BackendPool::requestWritten(BackendConnection &connection)
{
    m_observer->requestWritten(Base::ServerId(connection.serverKey()));
}

void BackendPool::headReceived(BackendConnection &connection, const ResponseHead &head)
{
    const Routing::ServerNotice notice = serverNotice(head, *m_names);
    if (!notice.isEmpty())
        m_observer->serverNoticed(Base::ServerId(connection.serverKey()), notice);
}

void BackendPool::connectionIdle(BackendConnection &connection)
{
    m_connections[connection.serverKey()].idle.push_back(&connection);
}

void BackendPool::connectionClosed(BackendConnection &connection)
{
    const auto it = m_connections.find(connection.serverKey());
    if (it == m_connections.end())
        return;
    ServerConnections &pooled = it->second;
    std::erase(pooled.idle, &connection);
    const auto isClosed = [&](const auto &held) { return held.get() == &connection; };
    std::erase_if(pooled.all, isClosed);
    for (DoubtedEnd &end : m_doubtedEnds) {
        if (std::erase_if(end.witnesses, isClosed) > 0 && end.witnesses.empty() && !end.isProbed)
            probe(end);
    }
}

void BackendPool::endDoubted(BackendConnection &connection)
{
    doubtEnd(connection.shared_from_this());
}

void BackendPool::doubtEnd(const std::shared_ptr<BackendConnection> &connection)
{
    if (std::ranges::count(m_doubtedEnds, connection, &DoubtedEnd::connection) > 0)
        return;
    DoubtedEnd &end = m_doubtedEnds.emplace_back();
    end.connection = connection;
    for (const auto &it : m_connections[connection->serverKey()].all) {
        if (it->isConnected() && it->server() == connection->server() && !it->isEnded())
            end.witnesses.push_back(it);
    }
    if (end.witnesses.empty())
        probe(end);
}

} // namespace Gateway
