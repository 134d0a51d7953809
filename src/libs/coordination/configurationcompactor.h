#pragma once

#include "base/time.h"
#include "coordination/configurationpolicy.h"
#include "settings/configuration.h"
#include "storage/objectstore.h"
#include "storage/operationids.h"
#include "storage/tableservice.h"

#include <optional>
#include <string>

namespace Coordination {

/// Key of the table row that holds the version of the newest snapshot (the pointer row).
inline const std::string snapshotKey = "config/snapshot";

/// Returns the key of the object that holds the snapshot of \a version. A few keys are reused in
/// turn, because objects cannot be deleted; the object contains its own version.
std::string snapshotObjectKey(Settings::ConfigurationVersion version, std::size_t compactEvery);
/// Returns the version in the pointer row, or 0 if the row is missing or malformed.
Settings::ConfigurationVersion snapshotVersionOf(const Storage::TableOutcome &outcome);

/// Writes a snapshot of the configuration to the object store every
/// ConfigurationPolicy::compactEvery changes and deletes the change rows that are more than
/// ConfigurationPolicy::keptRows below it.
///
/// Without compaction the table would grow by 62,000 rows a day, and a router that starts cold
/// would have to read all of them. Several pollers may compact at the same time: each writes the
/// same object for a version, the version in the pointer row only grows, and a run deletes only
/// rows below a snapshot whose pointer it has read or written itself. A failure ends the run;
/// the next run starts from the beginning.
class ConfigurationCompactor
{
public:
    ConfigurationCompactor(const ConfigurationPolicy &policy, Storage::TableService &table,
                           Storage::ObjectStore &objects, Storage::OperationIds &operations);

    /// Starts a run if one is due. The router must have caught up with the table.
    void advance(const Settings::Configuration &configuration, Base::TimePoint now);
    /// Continues the run if the outcome belongs to its current call. Returns whether it does.
    bool handle(const Storage::TableOutcome &outcome, const Settings::Configuration &configuration);
    bool handle(const Storage::ObjectOutcome &outcome);

private:
    enum class Stage { Idle, ReadPointer, Put, WritePointer, Scan, Delete };

    void readPointer();
    void handlePointer(const Storage::TableOutcome &outcome,
                       const Settings::Configuration &configuration);
    void writePointer();
    void scan();
    void deleteRows(const Storage::TableOutcome &outcome);
    /// Newest version whose change row may be deleted; 0 if none may.
    Settings::ConfigurationVersion lastDeletable() const;
    /// Enters \a stage and returns a new operation id for its call.
    Storage::OperationId beginStage(Stage stage);

    ConfigurationPolicy m_policy;
    Storage::TableService *m_table;
    Storage::ObjectStore *m_objects;
    Storage::OperationIds *m_operations;
    Stage m_stage = Stage::Idle;
    Storage::OperationId m_operation = 0;
    /// Version of the newest snapshot that the pointer row is known to name.
    Settings::ConfigurationVersion m_snapshot = 0;
    /// Version of the snapshot that the current run writes.
    Settings::ConfigurationVersion m_pendingSnapshot = 0;
    Storage::RowVersion m_pointerRowVersion = Storage::absentRow;
    Base::TimePoint m_nextRun{};
};

} // namespace Coordination
