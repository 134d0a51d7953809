#include "coordination/configurationcompactor.h"

#include "settings/changecodec.h"

#include <charconv>
#include <vector>

namespace Coordination {

namespace {

using Storage::TableStatus;

/// Number of object keys that are used in turn. A put that is delayed by less than eight
/// snapshots (six hours at 62,000 changes a day) overwrites no newer snapshot.
constexpr std::size_t snapshotSlots = 8;
/// Number of rows that are scanned and deleted at once.
constexpr std::size_t deleteBatchSize = 100;

} // namespace

std::string snapshotObjectKey(Settings::ConfigurationVersion version, std::size_t compactEvery)
{
    return snapshotKey + '/' + std::to_string(version / compactEvery % snapshotSlots);
}

Settings::ConfigurationVersion snapshotVersionOf(const Storage::TableOutcome &outcome)
{
    if (outcome.rows.empty())
        return 0;
    const std::string &text = outcome.rows.front().value;
    Settings::ConfigurationVersion version = 0;
    const char *end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, version);
    return ec == std::errc() && ptr == end ? version : 0;
}

ConfigurationCompactor::ConfigurationCompactor(const ConfigurationPolicy &policy,
                                               Storage::TableService &table,
                                               Storage::ObjectStore &objects,
                                               Storage::OperationIds &operations)
    : m_policy(policy)
    , m_table(&table)
    , m_objects(&objects)
    , m_operations(&operations)
{}

void ConfigurationCompactor::advance(const Settings::Configuration &configuration,
                                     Base::TimePoint now)
{
    if (now < m_nextRun || configuration.version() < m_snapshot + m_policy.compactEvery)
        return;
    m_nextRun = now + m_policy.compactInterval;
    // The new operation id abandons an earlier run that still waits for an answer.
    readPointer();
}

Storage::OperationId ConfigurationCompactor::beginStage(Stage stage)
{
    m_stage = stage;
    m_operation = m_operations->next();
    return m_operation;
}

void ConfigurationCompactor::readPointer()
{
    m_table->read(beginStage(Stage::ReadPointer), snapshotKey);
}

bool ConfigurationCompactor::handle(const Storage::TableOutcome &outcome,
                                    const Settings::Configuration &configuration)
{
    if (m_stage == Stage::Idle || outcome.operation != m_operation)
        return false;
    const Stage stage = m_stage;
    m_stage = Stage::Idle;
    if (outcome.status != TableStatus::Done)
        return true;
    if (stage == Stage::ReadPointer)
        handlePointer(outcome, configuration);
    if (stage == Stage::WritePointer) {
        m_snapshot = m_pendingSnapshot;
        scan();
    }
    if (stage == Stage::Scan)
        deleteRows(outcome);
    if (stage == Stage::Delete)
        scan();
    return true;
}

bool ConfigurationCompactor::handle(const Storage::ObjectOutcome &outcome)
{
    if (m_stage != Stage::Put || outcome.operation != m_operation)
        return false;
    m_stage = Stage::Idle;
    if (outcome.status == Storage::ObjectStatus::Done)
        writePointer();
    return true;
}

void ConfigurationCompactor::handlePointer(const Storage::TableOutcome &outcome,
                                           const Settings::Configuration &configuration)
{
    m_snapshot = snapshotVersionOf(outcome);
    m_pointerRowVersion = outcome.rows.empty() ? Storage::absentRow : outcome.rows.front().version;
    if (configuration.version() < m_snapshot + m_policy.compactEvery) {
        // Another router has written the snapshot; rows that it has not deleted are deleted here.
        scan();
        return;
    }
    m_pendingSnapshot = configuration.version();
    m_objects->put(beginStage(Stage::Put),
                   snapshotObjectKey(m_pendingSnapshot, m_policy.compactEvery),
                   Settings::encodeConfiguration(configuration));
}

void ConfigurationCompactor::writePointer()
{
    m_table->transact(beginStage(Stage::WritePointer),
                      {{snapshotKey, std::to_string(m_pendingSnapshot), m_pointerRowVersion}});
}

Settings::ConfigurationVersion ConfigurationCompactor::lastDeletable() const
{
    return m_snapshot > m_policy.keptRows ? m_snapshot - m_policy.keptRows : 0;
}

void ConfigurationCompactor::scan()
{
    if (lastDeletable() == 0)
        return;
    m_table->scan(beginStage(Stage::Scan), Settings::changePrefix, Settings::changeKey(0),
                  deleteBatchSize);
}

void ConfigurationCompactor::deleteRows(const Storage::TableOutcome &outcome)
{
    std::vector<Storage::TableWrite> writes;
    for (const Storage::TableRow &row : outcome.rows) {
        const Settings::ConfigurationVersion version = Settings::versionOfKey(row.key);
        if (version != 0 && version <= lastDeletable())
            writes.push_back({row.key, std::nullopt, std::nullopt});
    }
    if (!writes.empty())
        m_table->transact(beginStage(Stage::Delete), writes);
}

} // namespace Coordination
