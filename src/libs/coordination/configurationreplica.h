#pragma once

#include "base/result.h"
#include "base/time.h"
#include "platform/operationids.h"
#include "platform/tableservice.h"
#include "settings/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Coordination {

/// What a write of a target came to.
enum class TargetWriteStatus {
    Accepted,
    LostRace,    ///< The class changed after the version that the operator had seen.
    Unavailable, ///< Known not to be written.
    Unknown,     ///< The answer was lost and could not be read back.
};

struct TargetWriteResult
{
    /// Handle that the caller of writeTarget() gave.
    std::uint64_t handle = 0;
    TargetWriteStatus status = TargetWriteStatus::Unavailable;
    Settings::ConfigurationVersion version = 0;
};

struct ConfigurationPolicy
{
    Base::Duration pollInterval = std::chrono::milliseconds(1000);
};

/// This router's copy of the configuration: polled from the table, learned from peers, only
/// ever upward. Thin version: every router polls.
///
/// Rows: "config/head" holds the newest version in decimal; "config/change/NNNNNNNNNNNNNNNN"
/// holds each change as JSON.
class ConfigurationReplica
{
public:
    static Base::Result<ConfigurationReplica> create(const ConfigurationPolicy &policy,
                                                     Platform::TableService &table,
                                                     Platform::OperationIds &operations);

    const Settings::Configuration &configuration() const { return m_configuration; }
    /// False until the table or a peer has given a configuration; until then nothing is served.
    bool isReady() const { return m_isReady; }

    void advance(Base::TimePoint now);
    Base::TimePoint nextDue() const { return m_nextPoll; }
    /// Whether the outcome was an answer to this part's call.
    bool handle(const Platform::TableOutcome &outcome, Base::TimePoint now);

    /// Writes a target if the class has not changed after version \a seen.
    void writeTarget(std::uint64_t handle, const Settings::ClassTarget &target,
                     Settings::ConfigurationVersion seen, Base::TimePoint now);
    std::vector<TargetWriteResult> takeWriteResults();

    /// Changes after \a version, for a peer that is behind; empty if it must take a snapshot.
    std::vector<Settings::ConfigurationChange> changesAfter(Settings::ConfigurationVersion version,
                                                            std::size_t limit) const;
    /// Takes changes from a peer; those not next in order are left.
    void learn(const std::vector<Settings::ConfigurationChange> &changes);
    /// Takes a peer's whole configuration if it is newer.
    void learnSnapshot(const Settings::Configuration &configuration);

private:
    struct PendingWrite
    {
        std::uint64_t handle = 0;
        Settings::ClassTarget target;
        Platform::OperationId operation = 0;
        Settings::ConfigurationVersion version = 0;
    };

    ConfigurationReplica(const ConfigurationPolicy &policy, Platform::TableService &table,
                         Platform::OperationIds &operations);
    void applyRows(const std::vector<Platform::TableRow> &rows);

    ConfigurationPolicy m_policy;
    Platform::TableService *m_table;
    Platform::OperationIds *m_operations;
    Settings::Configuration m_configuration;
    std::vector<Settings::ConfigurationChange> m_changes;
    std::vector<PendingWrite> m_writes;
    std::vector<TargetWriteResult> m_results;
    std::optional<Platform::OperationId> m_poll;
    std::optional<Platform::OperationId> m_headRead;
    Platform::RowVersion m_headRow = 0;
    Base::TimePoint m_nextPoll{};
    bool m_isReady = false;
};

} // namespace Coordination
