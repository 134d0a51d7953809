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

/// This router's copy of the configuration: polled from the table, learned from peers, only
/// ever upward, change by change or by a whole snapshot.
///
/// Failures it stops: a table that is down, slow, answers out of order or loses answers; a peer
/// or a table with an old state. They would show as a target that goes back to an older value.
/// The guard holds because a change is applied only if its version is the next one, a snapshot
/// only if it is newer, and a change's row, once written, is never written again.
///
/// Rows: "config/head" holds the newest version in decimal; "config/change/NNNNNNNNNNNNNNNN"
/// holds each change as JSON; "config/snapshot" names the newest snapshot (see
/// ConfigurationCompactor).
class ConfigurationReplica
{
public:
    /// \a writer distinguishes this start of this router among all writers there ever were.
    static Base::Result<ConfigurationReplica> create(const ConfigurationPolicy &policy,
                                                     Storage::TableService &table,
                                                     Storage::ObjectStore &objects,
                                                     Storage::OperationIds &operations,
                                                     const std::string &writer);

    const Settings::Configuration &configuration() const { return m_known.configuration(); }
    /// False until the table or the peers have given the newest configuration that they know;
    /// until then nothing is served. Never false again.
    bool isReady() const { return m_isReady; }
    /// Whether this router polls for its zone. Others look rarely, in case the poller is blind.
    void setPolling(bool isPolling) { m_isPolling = isPolling; }

    void advance(Base::TimePoint now);
    Base::TimePoint nextDue() const { return m_nextPoll; }
    /// Whether the outcome was an answer to this part's call.
    bool handle(const Storage::TableOutcome &outcome, Base::TimePoint now);
    bool handle(const Storage::ObjectOutcome &outcome, Base::TimePoint now);

    /// Writes a target if the class has not changed after version \a seen.
    void writeTarget(std::uint64_t handle, const Settings::ClassTarget &target,
                     Settings::ConfigurationVersion seen, Base::TimePoint now);
    std::vector<TargetWriteResult> takeWriteResults() { return m_writer.takeResults(); }

    /// Notes which version a peer's heartbeat named.
    void recordPeerVersion(const Base::HostId &peer, Settings::ConfigurationVersion version,
                           Base::TimePoint now);
    /// The peer to ask for what is missing here, if it is time to ask.
    std::optional<Base::HostId> duePull(Base::TimePoint now);
    /// What to push to a peer at \a version without being asked. Only routers that have a
    /// change at first hand push it at once; the rest only if the peer still lacks it a while
    /// later. Otherwise each change would reach each router from all others.
    std::vector<Settings::ConfigurationChange> changesToPush(Settings::ConfigurationVersion version,
                                                             std::size_t limit,
                                                             Base::TimePoint now) const;
    /// Changes after \a version, for a peer that asks; empty if it must take a snapshot.
    std::vector<Settings::ConfigurationChange> changesAfter(Settings::ConfigurationVersion version,
                                                            std::size_t limit) const;
    /// Takes changes from a peer; those not next in order are left.
    void applyChanges(const std::vector<Settings::ConfigurationChange> &changes);
    /// Takes a peer's whole configuration if it is newer.
    void applySnapshot(const Settings::Configuration &configuration);

private:
    struct Peer
    {
        Settings::ConfigurationVersion version = 0;
        Base::TimePoint heardAt;
    };

    ConfigurationReplica(const ConfigurationPolicy &policy, Storage::TableService &table,
                         Storage::ObjectStore &objects, Storage::OperationIds &operations,
                         const std::string &writer);
    void poll(Base::TimePoint now);
    void takePoll(const Storage::TableOutcome &outcome, Base::TimePoint now);
    void fetchSnapshot();
    void becomeReadyFromPeers();
    Settings::ConfigurationVersion newestOfPeers() const;

    ConfigurationPolicy m_policy;
    Storage::TableService *m_table;
    Storage::ObjectStore *m_objects;
    Storage::OperationIds *m_operations;
    KnownChanges m_known;
    TargetWriter m_writer;
    ConfigurationCompactor m_compactor;
    std::map<Base::HostId, Peer> m_peers;
    /// Polls without an answer yet, with the time they were sent.
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
