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

/// Row that names the newest snapshot by its version.
inline const std::string snapshotKey = "config/snapshot";

/// Object that holds the snapshot of \a version. Few names are used in turn, since objects
/// cannot be deleted; the object tells its own version.
std::string snapshotObject(Settings::ConfigurationVersion version, std::size_t compactEvery);
/// Version that the row at snapshotKey names; 0 if it names none.
Settings::ConfigurationVersion snapshotVersionOf(const Storage::TableOutcome &outcome);

/// Writes a snapshot of the configuration to the object store every few thousand changes and
/// deletes the change rows well below it.
///
/// Without it the table would grow by 62,000 rows a day, and a router that starts cold would
/// read them all. Any poller may do it, several at once: the object of a version is the same
/// from each, the row that names it only grows, and rows are deleted only below a snapshot that
/// this very run has read or written. Any failure ends the run; the next one begins anew.
class ConfigurationCompactor
{
public:
    ConfigurationCompactor(const ConfigurationPolicy &policy, Storage::TableService &table,
                           Storage::ObjectStore &objects, Storage::OperationIds &operations);

    /// Starts a run if one is due; call it at a router that has caught up with the table.
    void advance(const Settings::Configuration &configuration, Base::TimePoint now);
    bool handle(const Storage::TableOutcome &outcome, const Settings::Configuration &configuration);
    bool handle(const Storage::ObjectOutcome &outcome);

private:
    enum class Stage { Idle, ReadPointer, Put, WritePointer, Scan, Delete };

    void readPointer();
    void tookPointer(const Storage::TableOutcome &outcome,
                     const Settings::Configuration &configuration);
    void writePointer();
    void scan();
    void deleteRows(const Storage::TableOutcome &outcome);
    Settings::ConfigurationVersion lastDeletable() const;
    Storage::OperationId begin(Stage stage);

    ConfigurationPolicy m_policy;
    Storage::TableService *m_table;
    Storage::ObjectStore *m_objects;
    Storage::OperationIds *m_operations;
    Stage m_stage = Stage::Idle;
    Storage::OperationId m_operation = 0;
    /// Newest snapshot known to be in place.
    Settings::ConfigurationVersion m_snapshot = 0;
    Settings::ConfigurationVersion m_writing = 0;
    Storage::RowVersion m_pointerRow = Storage::absentRow;
    Base::TimePoint m_nextRun{};
};

} // namespace Coordination
