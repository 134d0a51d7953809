#include "coordination/configurationreplica.h"

#include "settings/changecodec.h"

#include <algorithm>

namespace Coordination {

using Storage::TableStatus;

Base::Result<ConfigurationReplica> ConfigurationReplica::create(const ConfigurationPolicy &policy,
                                                                Storage::TableService &table,
                                                                Storage::ObjectStore &objects,
                                                                Storage::OperationIds &operations,
                                                                const std::string &writer)
{
    const bool isValid = policy.pollInterval > Base::Duration::zero() && policy.pollLimit > 0
                         && policy.compactEvery > policy.keptRows && !writer.empty();
    if (!isValid)
        return boost::leaf::new_error(InvalidConfigurationPolicy{});
    return ConfigurationReplica(policy, table, objects, operations, writer);
}

ConfigurationReplica::ConfigurationReplica(const ConfigurationPolicy &policy,
                                           Storage::TableService &table,
                                           Storage::ObjectStore &objects,
                                           Storage::OperationIds &operations,
                                           const std::string &writer)
    : m_policy(policy)
    , m_table(&table)
    , m_objects(&objects)
    , m_operations(&operations)
    , m_history(policy.keptChanges)
    , m_writer(policy, table, operations, writer)
    , m_compactor(policy, table, objects, operations)
{}

void ConfigurationReplica::advance(Base::TimePoint now)
{
    m_now = now;
    m_writer.advance(now);
    std::erase_if(m_peers, [&](const auto &entry) {
        return now - entry.second.lastHeardAt >= m_policy.peerTimeout;
    });
    std::erase_if(m_polls,
                  [&](const auto &entry) { return now - entry.second >= m_policy.pollTimeout; });
    if (now >= m_nextPoll && m_polls.empty())
        poll(now);
}

void ConfigurationReplica::poll(Base::TimePoint now)
{
    const bool isFrequent = m_isPolling || !m_isReady;
    m_nextPoll = now + (isFrequent ? m_policy.pollInterval : m_policy.idlePollInterval);
    const Storage::OperationId operation = m_operations->next();
    m_polls[operation] = now;
    m_table->scan(operation, Settings::changePrefix, Settings::changeKey(m_history.version()),
                  m_policy.pollLimit);
}

bool ConfigurationReplica::handle(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    m_now = now;
    if (m_polls.erase(outcome.operation) > 0) {
        if (outcome.status == TableStatus::Done)
            handlePollAnswer(outcome, now);
        return true;
    }
    if (outcome.operation == m_pointerRead) {
        m_pointerRead.reset();
        const Settings::ConfigurationVersion version = snapshotVersionOf(outcome);
        if (outcome.status != TableStatus::Done || version <= m_history.version())
            return true;
        m_snapshotRead = m_operations->next();
        m_objects->get(*m_snapshotRead, snapshotObjectKey(version, m_policy.compactEvery));
        return true;
    }
    return m_writer.handle(outcome, m_history, now)
           || m_compactor.handle(outcome, m_history.configuration());
}

void ConfigurationReplica::handlePollAnswer(const Storage::TableOutcome &outcome,
                                            Base::TimePoint now)
{
    for (const Storage::TableRow &row : outcome.rows) {
        const Settings::ConfigurationVersion version = Settings::versionOfKey(row.key);
        if (version > m_history.version() + 1) {
            // The rows in between were deleted, so a snapshot contains their changes.
            fetchSnapshot();
            return;
        }
        auto change = Settings::decodeChange(version, row.value);
        // The replica does not skip a malformed row. It keeps the configuration in force, as if
        // the table were down.
        if (!change)
            return;
        m_history.apply(*change, ChangeSource::Table, now);
    }
    if (outcome.rows.size() >= m_policy.pollLimit) {
        m_nextPoll = now;
        return;
    }
    m_isReady = true;
    if (m_isPolling)
        m_compactor.advance(m_history.configuration(), now);
}

void ConfigurationReplica::fetchSnapshot()
{
    m_pointerRead = m_operations->next();
    m_table->read(*m_pointerRead, snapshotKey);
}

bool ConfigurationReplica::handle(const Storage::ObjectOutcome &outcome, Base::TimePoint now)
{
    m_now = now;
    if (outcome.operation != m_snapshotRead)
        return m_compactor.handle(outcome);
    m_snapshotRead.reset();
    if (outcome.status != Storage::ObjectStatus::Done)
        return true;
    const auto configuration = Settings::decodeConfiguration(outcome.value);
    if (configuration && m_history.replace(*configuration))
        m_nextPoll = now;
    return true;
}

void ConfigurationReplica::writeTarget(std::uint64_t handle, const Settings::ClassTarget &target,
                                       Settings::ConfigurationVersion seen, Base::TimePoint now)
{
    m_writer.write(handle, target, seen, m_history, now);
}

void ConfigurationReplica::recordPeerVersion(const Base::HostId &peer,
                                             Settings::ConfigurationVersion version,
                                             Base::TimePoint now)
{
    m_peers[peer] = {version, now};
    if (version <= m_history.version())
        return;
    // A peer that has just got a change is about to push it, so a pull starts only if the change
    // is still missing after the interval.
    if (m_nextPull == Base::TimePoint{})
        m_nextPull = now + m_policy.pullInterval;
}

std::optional<Base::HostId> ConfigurationReplica::duePull(Base::TimePoint now)
{
    if (newestPeerVersion() <= m_history.version()) {
        m_nextPull = {};
        return std::nullopt;
    }
    if (m_nextPull == Base::TimePoint{} || now < m_nextPull)
        return std::nullopt;
    m_nextPull = now + m_policy.pullInterval;
    std::optional<Base::HostId> mostRecent;
    Base::TimePoint lastHeardAt{};
    for (const auto &[host, peer] : m_peers) {
        if (peer.version <= m_history.version() || peer.lastHeardAt < lastHeardAt)
            continue;
        mostRecent = host;
        lastHeardAt = peer.lastHeardAt;
    }
    return mostRecent;
}

std::vector<Settings::ConfigurationChange>
ConfigurationReplica::changesToPush(Settings::ConfigurationVersion version, std::size_t limit,
                                    Base::TimePoint now) const
{
    if (!m_history.shouldPush(version, m_policy.relayDelay, now))
        return {};
    return m_history.after(version, limit);
}

std::vector<Settings::ConfigurationChange>
ConfigurationReplica::changesAfter(Settings::ConfigurationVersion version, std::size_t limit) const
{
    return m_history.after(version, limit);
}

void ConfigurationReplica::applyChanges(const std::vector<Settings::ConfigurationChange> &changes)
{
    bool isNew = false;
    for (const Settings::ConfigurationChange &change : changes)
        isNew = m_history.apply(change, ChangeSource::Peer, m_now) || isNew;
    if (isNew)
        updateReadinessFromPeers();
}

void ConfigurationReplica::applySnapshot(const Settings::Configuration &configuration)
{
    if (m_history.replace(configuration))
        updateReadinessFromPeers();
}

void ConfigurationReplica::updateReadinessFromPeers()
{
    m_nextPull = m_now;
    // A configuration behind that of the peers is old, and a cold start must not serve it.
    if (m_history.version() >= newestPeerVersion())
        m_isReady = true;
}

Settings::ConfigurationVersion ConfigurationReplica::newestPeerVersion() const
{
    Settings::ConfigurationVersion newest = 0;
    for (const auto &[host, peer] : m_peers)
        newest = std::max(newest, peer.version);
    return newest;
}

} // namespace Coordination
