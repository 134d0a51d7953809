#pragma once

#include "base/time.h"
#include "coordination/configurationpolicy.h"
#include "platform/objectstore.h"
#include "platform/operationids.h"
#include "platform/tableservice.h"
#include "settings/configuration.h"

#include <optional>
#include <string>

namespace Coordination {

/// Row that names the newest snapshot by its version.
inline const std::string snapshotKey = "config/snapshot";

/// Object that holds the snapshot of \a version. Few names are used in turn, since objects
/// cannot be deleted; the object tells its own version.
std::string snapshotObject(Settings::ConfigurationVersion version, std::size_t compactEvery);
/// Version that the row at snapshotKey names; 0 if it names none.
Settings::ConfigurationVersion snapshotVersionOf(const Platform::TableOutcome &outcome);

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
    ConfigurationCompactor(const ConfigurationPolicy &policy, Platform::TableService &table,
                           Platform::ObjectStore &objects, Platform::OperationIds &operations);

    /// Starts a run if one is due; call it at a router that has caught up with the table.
    void advance(const Settings::Configuration &configuration, Base::TimePoint now);
    bool handle(const Platform::TableOutcome &outcome,
                const Settings::Configuration &configuration);
    bool handle(const Platform::ObjectOutcome &outcome);

private:
    enum class Stage { Idle, ReadPointer, Put, WritePointer, Scan, Delete };

    void readPointer();
    void tookPointer(const Platform::TableOutcome &outcome,
                     const Settings::Configuration &configuration);
    void writePointer();
    void scan();
    void deleteRows(const Platform::TableOutcome &outcome);
    Settings::ConfigurationVersion lastDeletable() const;
    Platform::OperationId begin(Stage stage);

    ConfigurationPolicy m_policy;
    Platform::TableService *m_table;
    Platform::ObjectStore *m_objects;
    Platform::OperationIds *m_operations;
    Stage m_stage = Stage::Idle;
    Platform::OperationId m_operation = 0;
    /// Newest snapshot known to be in place.
    Settings::ConfigurationVersion m_snapshot = 0;
    Settings::ConfigurationVersion m_writing = 0;
    Platform::RowVersion m_pointerRow = Platform::absentRow;
    Base::TimePoint m_nextRun{};
};

} // namespace Coordination
