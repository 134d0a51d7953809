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
    , m_known(policy.keptChanges)
    , m_writer(policy, table, operations, writer)
    , m_compactor(policy, table, objects, operations)
{}

void ConfigurationReplica::advance(Base::TimePoint now)
{
    m_now = now;
    m_writer.advance(now);
    std::erase_if(m_peers, [&](const auto &entry) {
        return now - entry.second.heardAt >= m_policy.peerLife;
    });
    std::erase_if(m_polls,
                  [&](const auto &entry) { return now - entry.second >= m_policy.pollTimeout; });
    if (now >= m_nextPoll && m_polls.empty())
        poll(now);
}

void ConfigurationReplica::poll(Base::TimePoint now)
{
    const bool isOften = m_isPolling || !m_isReady;
    m_nextPoll = now + (isOften ? m_policy.pollInterval : m_policy.idlePollInterval);
    const Storage::OperationId operation = m_operations->next();
    m_polls[operation] = now;
    m_table->scan(operation, Settings::changePrefix, Settings::changeKey(m_known.version()),
                  m_policy.pollLimit);
}

bool ConfigurationReplica::handle(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    m_now = now;
    if (m_polls.erase(outcome.operation) > 0) {
        if (outcome.status == TableStatus::Done)
            takePoll(outcome, now);
        return true;
    }
    if (outcome.operation == m_pointerRead) {
        m_pointerRead.reset();
        const Settings::ConfigurationVersion version = snapshotVersionOf(outcome);
        if (outcome.status != TableStatus::Done || version <= m_known.version())
            return true;
        m_snapshotRead = m_operations->next();
        m_objects->get(*m_snapshotRead, snapshotObject(version, m_policy.compactEvery));
        return true;
    }
    return m_writer.handle(outcome, m_known, now)
           || m_compactor.handle(outcome, m_known.configuration());
}

void ConfigurationReplica::takePoll(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    for (const Storage::TableRow &row : outcome.rows) {
        const Settings::ConfigurationVersion version = Settings::versionOfKey(row.key);
        if (version > m_known.version() + 1) {
            // The rows between were deleted: they are in a snapshot.
            fetchSnapshot();
            return;
        }
        auto change = Settings::decodeChange(version, row.value);
        // A row that cannot be read stops the copy here rather than let it go on without it:
        // what is in force stays in force, as with a table that is down.
        if (!change)
            return;
        m_known.apply(*change, ChangeSource::Table, now);
    }
    if (outcome.rows.size() >= m_policy.pollLimit) {
        m_nextPoll = now;
        return;
    }
    m_isReady = true;
    if (m_isPolling)
        m_compactor.advance(m_known.configuration(), now);
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
    if (configuration && m_known.replace(*configuration))
        m_nextPoll = now;
    return true;
}

void ConfigurationReplica::writeTarget(std::uint64_t handle, const Settings::ClassTarget &target,
                                       Settings::ConfigurationVersion seen, Base::TimePoint now)
{
    m_writer.write(handle, target, seen, m_known, now);
}

void ConfigurationReplica::recordPeerVersion(const Base::HostId &peer,
                                             Settings::ConfigurationVersion version,
                                             Base::TimePoint now)
{
    m_peers[peer] = {version, now};
    if (version <= m_known.version())
        return;
    // What a peer has just learned it is about to push; only a lasting lack is asked for.
    if (m_nextPull == Base::TimePoint{})
        m_nextPull = now + m_policy.pullInterval;
}

std::optional<Base::HostId> ConfigurationReplica::duePull(Base::TimePoint now)
{
    if (newestOfPeers() <= m_known.version()) {
        m_nextPull = {};
        return std::nullopt;
    }
    if (m_nextPull == Base::TimePoint{} || now < m_nextPull)
        return std::nullopt;
    m_nextPull = now + m_policy.pullInterval;
    std::optional<Base::HostId> latest;
    Base::TimePoint heardAt{};
    for (const auto &[host, peer] : m_peers) {
        if (peer.version <= m_known.version() || peer.heardAt < heardAt)
            continue;
        latest = host;
        heardAt = peer.heardAt;
    }
    return latest;
}

std::vector<Settings::ConfigurationChange>
ConfigurationReplica::changesToPush(Settings::ConfigurationVersion version, std::size_t limit,
                                    Base::TimePoint now) const
{
    if (!m_known.isToPush(version, m_policy.pushPatience, now))
        return {};
    return m_known.after(version, limit);
}

std::vector<Settings::ConfigurationChange>
ConfigurationReplica::changesAfter(Settings::ConfigurationVersion version, std::size_t limit) const
{
    return m_known.after(version, limit);
}

void ConfigurationReplica::applyChanges(const std::vector<Settings::ConfigurationChange> &changes)
{
    bool isNew = false;
    for (const Settings::ConfigurationChange &change : changes)
        isNew = m_known.apply(change, ChangeSource::Peer, m_now) || isNew;
    if (isNew)
        becomeReadyFromPeers();
}

void ConfigurationReplica::applySnapshot(const Settings::Configuration &configuration)
{
    if (m_known.replace(configuration))
        becomeReadyFromPeers();
}

void ConfigurationReplica::becomeReadyFromPeers()
{
    m_nextPull = m_now;
    // Part of the way is an old configuration, which a cold start must not serve.
    if (m_known.version() >= newestOfPeers())
        m_isReady = true;
}

Settings::ConfigurationVersion ConfigurationReplica::newestOfPeers() const
{
    Settings::ConfigurationVersion newest = 0;
    for (const auto &[host, peer] : m_peers)
        newest = std::max(newest, peer.version);
    return newest;
}

} // namespace Coordination
