#pragma once

#include "base/time.h"
#include "gateway/httpclient.h"
#include "gateway/storeintervals.h"
#include "gateway/storeprotocol.h"
#include "routing/exponentialbackoff.h"
#include "routing/routetable.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

class EventLog;

/// Told what the store says.
class StoreListener
{
public:
    virtual ~StoreListener() = default;
    /// \a text is the store's answer, from which \a table was read.
    virtual void configurationRead(std::shared_ptr<const Routing::RouteTable> table,
                                   const std::string &text) = 0;
    /// What is known was still current after \a askedAt.
    virtual void configurationConfirmed(Base::TimePoint askedAt) = 0;
    virtual void serversRead(const std::vector<Routing::RegisteredServer> &servers,
                             Base::TimePoint askedAt) = 0;
    /// The store does not take calls, or not from this host. Entries of servers may have lapsed
    /// meanwhile although their servers run.
    virtual void storeFailed() = 0;
    /// The entries of servers that could not be read are others than before.
    virtual void unreadableEntriesChanged(const std::set<std::string> &entries) = 0;
    virtual void storeCallFinished(const char *call, bool isGood) = 0;
    virtual void hostsRead(const std::vector<HostRow> &hosts) = 0;
    /// Rows that this host is to keep fresh; empty if another host does that for it.
    virtual std::vector<HostRow> rowsToRefresh() const = 0;
};

/// Keeps this host in touch with the platform's store: the configuration, the backend servers'
/// entries and the rows by which gateway hosts find each other.
///
/// The configuration is watched by one call that the store holds until something changes, for a
/// second at most: each answer also proves that what is known is current. The version watched
/// from is that of the last full reading and not that of the last answer, since the store may
/// answer a watch without the changes of the last moment. The servers' entries change all the
/// time with their heartbeats, so they are read whole at an interval.
///
/// All this is done only while this host is to read for itself or others (setReaderRole()). Else it
/// reads once, and again when it is told that something has changed; and not even once while other
/// hosts may hand it what they have read (setReadsDeferred()).
///
/// Load: the store is down, or turns some hosts away, and every call is paid for. The pauses
/// between failed calls grow, and a host that others stand in for only asks now and then whether
/// the store takes its calls again.
class StoreClient
{
public:
    enum class ReaderRole {
        None,    ///< Another host reads for this one.
        Self,    ///< Nobody has read for this host of late.
        ForZone, ///< Others take what this host reads.
    };

    /// The arguments outlive the client.
    StoreClient(boost::asio::io_context &io, const Settings::Address &address,
                const StoreProtocol &protocol, const HostRow &self, StoreListener &listener,
                EventLog &log);

    /// Does what is due. Call it every few ten milliseconds.
    void advance(Base::TimePoint now);
    void setReaderRole(ReaderRole duty) { m_duty = duty; }
    void setIntervals(const StoreIntervals &times) { m_times = times; }
    /// Whether the rows are read again at times, also by a host that others read for.
    void setHostDiscoveryEnabled(bool findsHosts) { m_findsHosts = findsHosts; }
    /// While held, only the rows of hosts are read and written.
    void setReadsDeferred(bool isHeld) { m_isHeld = isHeld; }
    /// Whether the newest call for the configuration failed.
    bool isLost() const { return !m_isWatchGood; }
    /// Whether the store has answered that there is no configuration yet.
    bool isConfigurationMissing() const
    {
        return m_configurationVersion == 0 && m_newestVersion > 0;
    }
    /// Version of the store at the last whole reading of the servers.
    std::uint64_t serversVersion() const { return m_serversVersion; }
    /// Another host has seen a newer configuration, or other servers, and does not hand them out.
    void configurationChanged() { m_needsReading = true; }
    void serversChanged() { m_needsServers = true; }
    /// Taken from another host; \a version is the configuration's own, or the store's at the
    /// reading of the servers.
    void configurationCopied(std::uint64_t version);
    void serversCopied(std::uint64_t version);
    /// Takes this host's row away; it leaves.
    void leave() { m_isLeaving = true; }

private:
    void readConfiguration(Base::TimePoint now);
    void watchConfiguration(Base::TimePoint now);
    void configurationAnswered(const std::optional<HttpAnswer> &answer, Base::TimePoint askedAt,
                               bool isWatch);
    void takeConfiguration(const ConfigurationReading &reading, const std::string &text,
                           Base::TimePoint askedAt, bool isWatch);
    /// What is known to be lost: an answer on one connection, or the store itself.
    enum class Loss { Connection, Store };
    void configurationFailed(const char *why, Loss loss);
    void readServers(Base::TimePoint now);
    void serversAnswered(const std::optional<HttpAnswer> &answer, Base::TimePoint askedAt);
    void serversFailed(const char *why, Loss loss);
    /// The loss that a call without an answer shows: only that of its connection, where a call on a
    /// new one was good before.
    static Loss lossOf(bool wasGood) { return wasGood ? Loss::Connection : Loss::Store; }
    bool callForHosts(Base::TimePoint now);
    void writeHosts(Base::TimePoint now);
    void hostsAnswered(const std::optional<HttpAnswer> &answer);
    bool isReading() const { return m_duty != ReaderRole::None; }
    Base::Duration pauseAfterFailure(Routing::ExponentialBackoff &pause) const;
    void noteLane(bool &isGood, bool isGoodNow, const char *what, const char *why);

    const StoreProtocol *m_protocol;
    HostRow m_self;
    StoreListener *m_listener;
    EventLog *m_log;
    std::shared_ptr<HttpLane> m_watchLane;
    std::shared_ptr<HttpLane> m_readLane;

    /// Of the last full reading.
    std::uint64_t m_readVersion = 0;
    /// Of the newest answer.
    std::uint64_t m_newestVersion = 0;
    std::uint64_t m_configurationVersion = 0;
    StoreIntervals m_times;
    ReaderRole m_duty = ReaderRole::Self;
    bool m_isHeld = false;
    bool m_findsHosts = true;
    bool m_needsReading = true;
    bool m_needsServers = true;
    Base::TimePoint m_nextWatch{};
    Base::TimePoint m_nextFullReading{};

    std::vector<Routing::RegisteredServer> m_pages;
    std::set<std::string> m_unreadablePages;
    /// Of the last whole reading.
    std::set<std::string> m_unreadable;
    std::string m_continueFrom;
    std::uint64_t m_serversVersion = 0;
    Base::TimePoint m_nextServers{};
    Routing::ExponentialBackoff m_watchPause;
    Routing::ExponentialBackoff m_readPause;
    Routing::ExponentialBackoff m_hostPause;

    /// The store's clock when it was last told, and when that was.
    Base::Milliseconds m_storeTime{0};
    Base::TimePoint m_storeTimeAt{};
    Base::TimePoint m_nextHostRead{};
    Base::TimePoint m_nextHostWrite{};
    /// Of those that are due, the ones that no call has taken yet.
    std::vector<HostRow> m_rowsToWrite;
    bool m_isLeaving = false;
    bool m_isRowRemoved = false;
    bool m_isWatchGood = true;
    bool m_isReadGood = true;
    /// A watch failed since the servers were last read whole.
    bool m_areServersDoubtful = false;
};

} // namespace Gateway
