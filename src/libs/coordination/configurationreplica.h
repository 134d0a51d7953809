#pragma once

#include "base/result.h"
#include "base/time.h"
#include "coordination/configurationcompactor.h"
#include "coordination/configurationhistory.h"
#include "coordination/configurationpolicy.h"
#include "coordination/targetwriter.h"
#include "settings/configuration.h"
#include "storage/objectstore.h"
#include "storage/operationids.h"
#include "storage/tableservice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Coordination {

/// This router's copy of the configuration. It is updated from the table, by polling, and from
/// peers, either change by change or by a whole snapshot. Its version never decreases.
///
/// No target can revert to an older value, even if the table is down or slow, loses answers or
/// gives them out of order, or if the table or a peer has an old state: a change is applied only
/// if its version is the next one, a snapshot only if it is newer, and the row of a change is
/// never overwritten.
///
/// The table's rows are "config/head" with the newest version in decimal,
/// "config/change/NNNNNNNNNNNNNNNN" with one change each as JSON, and "config/snapshot" with the
/// version of the newest snapshot (see ConfigurationCompactor).
class ConfigurationReplica
{
public:
    /// \a writer must be unique for this start of this router among all writers, past ones
    /// included. Fails with InvalidConfigurationPolicy.
    static Base::Result<ConfigurationReplica> create(const ConfigurationPolicy &policy,
                                                     Storage::TableService &table,
                                                     Storage::ObjectStore &objects,
                                                     Storage::OperationIds &operations,
                                                     const std::string &writer);

    const Settings::Configuration &configuration() const { return m_history.configuration(); }
    /// Whether the newest configuration that the table or the peers know has been received. Before
    /// that the router must not serve. Once true, it stays true.
    bool isReady() const { return m_isReady; }
    /// Sets whether this router polls for its zone. Other routers poll rarely, in case the poller
    /// does not reach the table.
    void setPolling(bool isPolling) { m_isPolling = isPolling; }

    /// Sends due polls and continues or ends due writes.
    void advance(Base::TimePoint now);
    /// Time of the next poll.
    Base::TimePoint nextDue() const { return m_nextPoll; }
    /// Processes the outcome of a call. Returns whether the call was one of the replica's.
    bool handle(const Storage::TableOutcome &outcome, Base::TimePoint now);
    bool handle(const Storage::ObjectOutcome &outcome, Base::TimePoint now);

    /// Starts to write a target, on condition that the class has not changed after version
    /// \a seen. takeWriteResults() gives the result, with \a handle.
    void writeTarget(std::uint64_t handle, const Settings::ClassTarget &target,
                     Settings::ConfigurationVersion seen, Base::TimePoint now);
    /// Returns the results of finished writes and removes them.
    std::vector<TargetWriteResult> takeWriteResults() { return m_writer.takeResults(); }

    /// Records the version that a peer's heartbeat has announced.
    void recordPeerVersion(const Base::HostId &peer, Settings::ConfigurationVersion version,
                           Base::TimePoint now);
    /// Returns the peer to pull missing changes from if a pull is due, and schedules the next one.
    std::optional<Base::HostId> duePull(Base::TimePoint now);
    /// Returns up to \a limit changes to push to a peer that is at \a version. A router pushes a
    /// change at once only if it has read it from the table, and otherwise only if the peer still
    /// lacks it after ConfigurationPolicy::relayDelay. Without this rule every router would get
    /// each change from all others.
    std::vector<Settings::ConfigurationChange> changesToPush(Settings::ConfigurationVersion version,
                                                             std::size_t limit,
                                                             Base::TimePoint now) const;
    /// Returns up to \a limit changes after \a version for a peer that pulls; empty if they are no
    /// longer kept and the peer needs a snapshot.
    std::vector<Settings::ConfigurationChange> changesAfter(Settings::ConfigurationVersion version,
                                                            std::size_t limit) const;
    /// Applies changes from a peer. A change whose version is not the next one is ignored.
    void applyChanges(const std::vector<Settings::ConfigurationChange> &changes);
    /// Replaces the configuration by a peer's if that is newer.
    void applySnapshot(const Settings::Configuration &configuration);

private:
    struct Peer
    {
        Settings::ConfigurationVersion version = 0;
        Base::TimePoint lastHeardAt;
    };

    ConfigurationReplica(const ConfigurationPolicy &policy, Storage::TableService &table,
                         Storage::ObjectStore &objects, Storage::OperationIds &operations,
                         const std::string &writer);
    void poll(Base::TimePoint now);
    void handlePollAnswer(const Storage::TableOutcome &outcome, Base::TimePoint now);
    /// Reads the pointer row, then the snapshot that it names.
    void fetchSnapshot();
    /// Makes the next pull due at once, and the replica ready if it has caught up with all peers.
    void updateReadinessFromPeers();
    Settings::ConfigurationVersion newestPeerVersion() const;

    ConfigurationPolicy m_policy;
    Storage::TableService *m_table;
    Storage::ObjectStore *m_objects;
    Storage::OperationIds *m_operations;
    ConfigurationHistory m_history;
    TargetWriter m_writer;
    ConfigurationCompactor m_compactor;
    std::map<Base::HostId, Peer> m_peers;
    /// Send times of the polls that have no answer yet.
    std::map<Storage::OperationId, Base::TimePoint> m_polls;
    std::optional<Storage::OperationId> m_pointerRead;
    std::optional<Storage::OperationId> m_snapshotRead;
    Base::TimePoint m_now{};
    Base::TimePoint m_nextPoll{};
    Base::TimePoint m_nextPull{};
    bool m_isPolling = true;
    bool m_isReady = false;
};

} // namespace Coordination
