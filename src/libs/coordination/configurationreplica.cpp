#include "coordination/configurationreplica.h"

#include "settings/changecodec.h"

#include <algorithm>

namespace Coordination {

namespace {

constexpr std::size_t pollLimit = 500;

} // namespace

Base::Result<ConfigurationReplica> ConfigurationReplica::create(const ConfigurationPolicy &policy,
                                                                Platform::TableService &table,
                                                                Platform::OperationIds &operations)
{
    return ConfigurationReplica(policy, table, operations);
}

ConfigurationReplica::ConfigurationReplica(const ConfigurationPolicy &policy,
                                           Platform::TableService &table,
                                           Platform::OperationIds &operations)
    : m_policy(policy)
    , m_table(&table)
    , m_operations(&operations)
{}

void ConfigurationReplica::advance(Base::TimePoint now)
{
    if (now < m_nextPoll)
        return;
    m_nextPoll = now + m_policy.pollInterval;
    m_headRead = m_operations->next();
    m_table->read(*m_headRead, Settings::headKey);
    m_poll = m_operations->next();
    m_table->scan(*m_poll, Settings::changePrefix, Settings::changeKey(m_configuration.version()),
                  pollLimit);
}

bool ConfigurationReplica::handle(const Platform::TableOutcome &outcome, Base::TimePoint)
{
    if (outcome.operation == m_headRead) {
        if (!outcome.rows.empty())
            m_headRow = outcome.rows.front().version;
        return true;
    }
    if (outcome.operation == m_poll) {
        if (outcome.status != Platform::TableStatus::Done)
            return true;
        applyRows(outcome.rows);
        m_isReady = true;
        return true;
    }
    const auto it = std::find_if(m_writes.begin(), m_writes.end(), [&](const PendingWrite &write) {
        return write.operation == outcome.operation;
    });
    if (it == m_writes.end())
        return false;
    TargetWriteResult result{it->handle, TargetWriteStatus::Unknown, m_configuration.version()};
    if (outcome.status == Platform::TableStatus::Done) {
        result.status = TargetWriteStatus::Accepted;
        result.version = it->version;
        learn({{it->version, it->target}});
        m_headRow = outcome.rows.empty() ? m_headRow : outcome.rows.front().version;
    }
    if (outcome.status == Platform::TableStatus::Conflict)
        result.status = TargetWriteStatus::LostRace;
    if (outcome.status == Platform::TableStatus::NotDone)
        result.status = TargetWriteStatus::Unavailable;
    m_results.push_back(result);
    m_writes.erase(it);
    return true;
}

void ConfigurationReplica::writeTarget(std::uint64_t handle, const Settings::ClassTarget &target,
                                       Settings::ConfigurationVersion seen, Base::TimePoint)
{
    const Settings::VersionedTarget *current = m_configuration.target(target.name);
    if (seen > m_configuration.version() || (current && current->version > seen)) {
        m_results.push_back({handle, TargetWriteStatus::LostRace, m_configuration.version()});
        return;
    }
    PendingWrite write{handle, target, m_operations->next(), m_configuration.version() + 1};
    const Settings::ConfigurationChange change{write.version, target};
    m_writes.push_back(write);
    m_table->transact(write.operation,
                      {{Settings::headKey, std::to_string(write.version), m_headRow},
                       {Settings::changeKey(write.version), Settings::encodeChange(change),
                        Platform::absentRow}});
}

std::vector<TargetWriteResult> ConfigurationReplica::takeWriteResults()
{
    return std::exchange(m_results, {});
}

std::vector<Settings::ConfigurationChange>
ConfigurationReplica::changesAfter(Settings::ConfigurationVersion version, std::size_t limit) const
{
    std::vector<Settings::ConfigurationChange> changes;
    for (const Settings::ConfigurationChange &change : m_changes) {
        if (change.version <= version || changes.size() == limit)
            continue;
        changes.push_back(change);
    }
    return changes;
}

void ConfigurationReplica::learn(const std::vector<Settings::ConfigurationChange> &changes)
{
    for (const Settings::ConfigurationChange &change : changes) {
        if (m_configuration.apply(change))
            m_changes.push_back(change);
    }
}

void ConfigurationReplica::learnSnapshot(const Settings::Configuration &configuration)
{
    if (configuration.version() <= m_configuration.version())
        return;
    m_configuration = configuration;
    m_changes.clear();
    m_isReady = true;
}

void ConfigurationReplica::applyRows(const std::vector<Platform::TableRow> &rows)
{
    for (const Platform::TableRow &row : rows) {
        const Settings::ConfigurationVersion version = Settings::versionOfKey(row.key);
        Base::Result<Settings::ConfigurationChange> change =
            Settings::decodeChange(version, row.value);
        if (!change)
            return;
        learn({*change});
    }
}

} // namespace Coordination
