#pragma once

#include "base/time.h"
#include "gateway/httpclient.h"
#include "gateway/serverentries.h"
#include "gateway/storeintervals.h"
#include "gateway/storeprotocol.h"
#include "routing/exponentialbackoff.h"
#include "routing/routetable.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

class EventLog;

/// Receives what a StoreClient reads from the store, and the state of its calls.
class StoreListener
{
public:
    virtual ~StoreListener() = default;
    /// A newer configuration was read. \a text is the store's answer that \a table was parsed from.
    virtual void configurationRead(std::shared_ptr<const Routing::RouteTable> table,
                                   const std::string &text) = 0;
    /// The known configuration is current: the store confirmed it in answer to a call that was sent
    /// at \a askedAt.
    virtual void configurationConfirmed(Base::TimePoint askedAt) = 0;
    /// All evacuated zones were read, as of \a version of the store.
    virtual void evacuationsRead(const std::set<Base::ZoneId> &zones, std::uint64_t version) = 0;
    /// A watch returned all changes of evacuations up to \a version of the store.
    virtual void evacuationsChanged(const std::vector<Routing::EvacuationChange> &changes,
                                    std::uint64_t version) = 0;
    /// All ordered roll-outs were read, as of \a version of the store.
    virtual void rolloutsRead(const std::vector<Routing::RolloutOrder> &orders,
                              std::uint64_t version) = 0;
    /// A watch returned all changes of ordered roll-outs up to \a version of the store.
    virtual void rolloutsChanged(const std::vector<Routing::RolloutOrderChange> &changes,
                                 std::uint64_t version) = 0;
    /// Everything that the operator had set up to \a version of the store is known.
    virtual void operatorRead(std::uint64_t version) = 0;
    /// The entries of all servers were read; the call for the last page was sent at \a askedAt.
    virtual void serversRead(const std::vector<Routing::RegisteredServer> &servers,
                             Base::TimePoint askedAt) = 0;
    /// Returns the servers that are known from other hosts; empty if they are not settled.
    virtual std::optional<ListedServers> knownServers() const = 0;
    /// The store fails calls, or refuses those of this host. Entries of servers may expire
    /// meanwhile although their servers run.
    virtual void storeFailed() = 0;
    /// The set of server entries that cannot be parsed has changed to \a entries.
    virtual void unreadableEntriesChanged(const std::set<std::string> &entries) = 0;
    /// A call ended; \a call is its name in metrics.
    virtual void storeCallFinished(const char *call, bool isGood) = 0;
    /// The rows of gateway hosts were read.
    virtual void hostsRead(const std::vector<HostRow> &hosts) = 0;
    /// The host rows that this host rewrites before they expire; empty if another host does that.
    virtual std::vector<HostRow> rowsToRefresh() const = 0;
};

/// Reads the platform's store: the configuration, the entries of the backend servers and the rows
/// by which gateway hosts discover each other. It also writes the rows of hosts.
///
/// The configuration is watched with a long poll, which the store holds until something changes,
/// for a second at most. Each answer also confirms that the known configuration is current. The
/// watch starts from the version of the last full reading, or of the last change that a watch
/// returned, and not from that of the last answer, since the store may answer a watch without the
/// most recent changes. The entries of servers are read as a whole once, and then only their
/// changes (ServerEntries), since thousands of entries take megabytes.
///
/// The store is polled only while this host reads it for itself or for others (setReaderRole()).
/// Otherwise this host reads it once, and again when it is notified of a change. While other hosts
/// may provide copies of what they have read, it reads neither the configuration nor the servers
/// (setReadsDeferred()).
///
/// Each call costs money, also while the store is down or refuses some hosts. The pauses between
/// failed calls therefore grow, and a host for which another one reads only probes at long
/// intervals whether the store accepts its calls again.
class StoreClient
{
public:
    enum class ReaderRole {
        None,    ///< Another host reads the store for this one.
        Self,    ///< This host reads for itself, since no other has done so recently.
        ForZone, ///< This host reads for all hosts of its availability zone.
    };

    /// The arguments, except \a address and \a self, must outlive the client.
    StoreClient(boost::asio::io_context &io, const Settings::Address &address,
                const StoreProtocol &protocol, const HostRow &self, StoreListener &listener,
                EventLog &log);

    /// Starts the calls that are due. Must be called every few tens of milliseconds.
    void advance(Base::TimePoint now);
    void setReaderRole(ReaderRole role) { m_readerRole = role; }
    void setIntervals(const StoreIntervals &intervals) { m_intervals = intervals; }
    /// Whether a host that does not read for its zone still polls the rows of hosts.
    void setHostDiscoveryEnabled(bool isEnabled) { m_isHostDiscoveryEnabled = isEnabled; }
    /// While reads are deferred, only the rows of hosts are read and written.
    void setReadsDeferred(bool isDeferred) { m_areReadsDeferred = isDeferred; }
    /// Whether all rows of hosts that were listed have been read.
    bool hasReadHosts() const { return m_hasReadHosts; }
    /// Whether the last call for the configuration failed.
    bool isLost() const { return !m_isWatchAvailable; }
    /// Whether the store has answered that there is no configuration yet.
    bool isConfigurationMissing() const
    {
        return m_configurationVersion == 0 && m_newestVersion > 0;
    }
    /// Version of the store up to which everything that the operator has set was read.
    std::uint64_t operatorVersion() const { return m_newestVersion; }
    /// Version of the store at the last reading of the servers.
    std::uint64_t serversVersion() const { return m_serversVersion; }
    /// Another host reports a newer configuration, or other servers, but provides no copy of them:
    /// they are read from the store.
    void configurationChanged() { m_needsReading = true; }
    void serversChanged() { m_needsServers = true; }
    /// The servers are read once more, unless they were read by a call that was sent at \a time or
    /// later. The store is asked at most ten times a second for this.
    void readServersAfter(Base::TimePoint time)
    {
        m_serversWantedAfter = std::max(m_serversWantedAfter, time);
    }
    /// A copy was received from another host. \a version is that of the configuration, or that of
    /// the store when the servers were read.
    void configurationCopied(std::uint64_t version);
    void serversCopied(std::uint64_t version);
    /// Removes this host's row from the store, as the process shuts down.
    void leave() { m_isLeaving = true; }

private:
    void readConfiguration(Base::TimePoint now);
    void watchConfiguration(Base::TimePoint now);
    void configurationAnswered(const std::optional<HttpAnswer> &answer, Base::TimePoint askedAt,
                               bool isWatch);
    void takeConfiguration(const ConfigurationReading &reading, const std::string &text,
                           Base::TimePoint askedAt, bool isWatch);
    void takeEvacuations(const ConfigurationReading &reading, bool isWatch);
    void takeRollouts(const ConfigurationReading &reading, bool isWatch);
    /// What a failure affects: one connection only, or the store as a whole.
    enum class FailureScope { Connection, Store };
    void configurationFailed(const char *why, FailureScope scope);
    void readServers(Base::TimePoint now);
    void serversAnswered(const std::optional<HttpAnswer> &answer, Base::TimePoint askedAt);
    void takeServers(const ServerReading &reading, Base::TimePoint askedAt);
    void serversFailed(const char *why, FailureScope scope);
    /// Scope of a call that got no answer. If the call before it succeeded, only the connection may
    /// be broken; the next call uses a new one.
    static FailureScope failureScope(bool wasGood)
    {
        return wasGood ? FailureScope::Connection : FailureScope::Store;
    }
    /// Whether the servers are to be read now, whether or not another host reads for this one.
    bool isServerReadingWanted(Base::TimePoint now) const;
    bool syncHostRows(Base::TimePoint now);
    void writeHosts(Base::TimePoint now);
    void hostsAnswered(const std::optional<HttpAnswer> &answer);
    bool isReading() const { return m_readerRole != ReaderRole::None; }
    Base::Duration pauseAfterFailure(Routing::ExponentialBackoff &pause) const;
    void logAvailabilityChange(bool &isGood, bool isGoodNow, const char *what, const char *why);

    const StoreProtocol *m_protocol;
    HostRow m_self;
    StoreListener *m_listener;
    EventLog *m_log;
    std::shared_ptr<HttpClient> m_watchClient;
    std::shared_ptr<HttpClient> m_readClient;

    /// Version from which changes are watched: that of the last full reading or watched change.
    std::uint64_t m_watchFromVersion = 0;
    /// Highest version of the store in an answer about the configuration.
    std::uint64_t m_newestVersion = 0;
    std::uint64_t m_configurationVersion = 0;
    StoreIntervals m_intervals;
    ReaderRole m_readerRole = ReaderRole::Self;
    bool m_areReadsDeferred = false;
    bool m_isHostDiscoveryEnabled = true;
    bool m_needsReading = true;
    bool m_needsServers = true;
    Base::TimePoint m_nextWatch{};
    Base::TimePoint m_nextFullReading{};

    ServerEntries m_entries;
    /// Whether entries may be taken over from other hosts; false while the store's history does not
    /// reach back to their version.
    bool m_mayTakeOver = true;
    /// Keys of the unreadable entries at the last complete reading of the servers.
    std::set<std::string> m_unreadableEntries;
    std::uint64_t m_serversVersion = 0;
    Base::TimePoint m_nextServerReading{};
    Base::TimePoint m_serversWantedAfter = Base::TimePoint::min();
    /// When the first call of the current reading of the servers was sent, and of the last one that
    /// was completed.
    Base::TimePoint m_readingSince{};
    Base::TimePoint m_serversReadSince = Base::TimePoint::min();
    Routing::ExponentialBackoff m_watchPause;
    Routing::ExponentialBackoff m_readPause;
    Routing::ExponentialBackoff m_hostPause;

    /// Last known time of the store's clock, and the local time at which it was received.
    Base::Milliseconds m_storeTime{0};
    Base::TimePoint m_storeTimeReadAt{};
    Base::TimePoint m_nextHostReading{};
    /// Where the next page of the rows of hosts begins; empty if all pages were read.
    std::string m_nextHostPage;
    bool m_hasReadHosts = false;
    Base::TimePoint m_nextHostWriting{};
    /// The due rows that are not part of a call yet.
    std::vector<HostRow> m_rowsToWrite;
    bool m_isLeaving = false;
    bool m_isRowRemoved = false;
    bool m_isWatchAvailable = true;
    bool m_isReadAvailable = true;
    /// A call for the configuration has failed at the store since the servers were last read
    /// completely.
    bool m_areServersUnconfirmed = false;
};

} // namespace Gateway
