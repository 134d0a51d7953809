#include "gateway/serverentries.h"

#include <algorithm>

namespace Gateway {

namespace {

/// An answer that was asked for this long after another one contains all changes up to the
/// version of that one.
constexpr Base::Duration settlingTime = std::chrono::seconds(5);
/// An answer with this many changes may lack further ones.
constexpr std::size_t maxChangesOfAnswer = 500;

} // namespace

void SettledVersion::record(std::uint64_t version, Base::TimePoint askedAt)
{
    const bool isFirst = m_recentAt == Base::TimePoint::min();
    if (!isFirst && askedAt - m_recentAt < settlingTime)
        return;
    raise(m_recent);
    m_recent = version;
    m_recentAt = askedAt;
}

std::optional<std::uint64_t> ServerEntries::changesFrom() const
{
    return m_isComplete ? std::optional(m_knownUpTo.value()) : std::nullopt;
}

void ServerEntries::takeOver(const ListedServers &listed)
{
    clear();
    for (const Routing::RegisteredServer &server : listed.servers)
        m_servers.insert_or_assign(server.start.name, server);
    m_knownUpTo = SettledVersion(listed.version);
    m_isComplete = true;
}

bool ServerEntries::take(const ServerReading &reading, Base::TimePoint askedAt)
{
    if (!m_isComplete) {
        takePage(reading, askedAt);
        return m_isComplete;
    }
    takeChanges(reading, askedAt);
    return reading.continueFrom.empty()
           && reading.servers.size() + reading.removed.size() < maxChangesOfAnswer;
}

void ServerEntries::takePage(const ServerReading &reading, Base::TimePoint askedAt)
{
    // Entries of the first page may change while the others are read.
    if (m_nextPage.empty()) {
        clear();
        m_knownUpTo = SettledVersion(reading.storeVersion);
    }
    m_knownUpTo.record(m_knownUpTo.value(), askedAt);
    put(reading);
    m_nextPage = reading.continueFrom;
    m_isComplete = m_nextPage.empty();
}

void ServerEntries::takeChanges(const ServerReading &reading, Base::TimePoint askedAt)
{
    for (const std::string &key : reading.removed) {
        m_servers.erase(key);
        m_unreadable.erase(key);
    }
    put(reading);
    m_knownUpTo.raise(reading.newestEntryVersion);
    m_knownUpTo.record(reading.storeVersion, askedAt);
}

void ServerEntries::put(const ServerReading &reading)
{
    for (const Routing::RegisteredServer &server : reading.servers) {
        m_unreadable.erase(server.start.name);
        m_servers.insert_or_assign(server.start.name, server);
    }
    for (const std::string &key : reading.unreadable) {
        m_servers.erase(key);
        m_unreadable.insert(key);
    }
}

void ServerEntries::dropPages()
{
    if (!m_isComplete)
        clear();
}

void ServerEntries::clear()
{
    *this = ServerEntries();
}

std::vector<Routing::RegisteredServer> ServerEntries::servers() const
{
    std::vector<Routing::RegisteredServer> servers;
    servers.reserve(m_servers.size());
    for (const auto &[key, server] : m_servers)
        servers.push_back(server);
    return servers;
}

} // namespace Gateway
