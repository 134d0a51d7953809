#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "routing/evacuatedzones.h"
#include "routing/rolloutorders.h"
#include "routing/routingconfiguration.h"
#include "routing/serverset.h"
#include "routing/streamorigins.h"
#include "routing/versionhistory.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/// An HTTP request to the store or to another host.
struct HttpCall
{
    std::string method = "GET";
    std::string target;
    std::string body;
};

/// The answer to an HttpCall.
struct HttpAnswer
{
    unsigned status = 0;
    std::string body;
};

/// Error: the store answered with another status than success.
struct StoreRefused
{
    unsigned status = 0;
};

/// Error: the store's history no longer covers the requested version; a full reading is required.
struct StoreHistoryGone
{};

/// Error: the store's answer cannot be parsed.
struct MalformedStoreAnswer
{
    std::string what;
};

/// Result of reading or watching what the operator has set: the configuration and the evacuated
/// zones.
struct ConfigurationReading
{
    /// Version of the store at the moment of the reading. The store never decreases it.
    std::uint64_t storeVersion = 0;
    /// Empty if there is no configuration, or if a watch returned no change of it.
    std::optional<Routing::RoutingConfiguration> configuration;
    /// All evacuated zones after a reading, or their changes after a watch.
    std::vector<Routing::EvacuationChange> evacuations;
    /// All ordered roll-outs after a reading, or their changes after a watch.
    std::vector<Routing::RolloutOrderChange> rollouts;
    /// Keys of evacuations and of orders that name no zone or service; they are not used.
    std::vector<std::string> unreadable;
    /// Whether a watch returned any change, of whatever kind.
    bool hasChanges = false;
};

/// Result of reading the states of roll-outs that gateways have written.
struct RolloutReading
{
    std::vector<Routing::RolloutState> states;
    /// Keys of rows that cannot be parsed; they are not used.
    std::vector<std::string> unreadable;
    /// Current time of the store's own steady clock.
    Base::Milliseconds storeTime{0};
};

/// Result of writing the state of a roll-out.
struct RolloutWriting
{
    /// Whether the state was written; otherwise another host has written one meanwhile.
    bool isWritten = false;
    /// Version of the store at which it was written.
    std::uint64_t revision = 0;
};

/// A row that tells that a software version has served.
struct VersionRow
{
    Routing::ServiceVersion version;
    /// Time of the store's clock at which the version's last server was gone; empty while servers
    /// may be listed.
    std::optional<Base::Milliseconds> goneAt;
    /// The row's key; empty for the one that follows from the version.
    std::string key;
    /// Version of the store at which the row was written; 0 if it is not in the store yet.
    std::uint64_t revision = 0;

    bool operator==(const VersionRow &) const = default;
};

/// One page of the rows of software versions.
struct VersionReading
{
    std::vector<VersionRow> rows;
    /// Rows that cannot be parsed; only their keys and revisions are set.
    std::vector<VersionRow> malformed;
    /// Where the next page begins; empty on the last page.
    std::string continueFrom;
    /// Current time of the store's own steady clock.
    Base::Milliseconds storeTime{0};
};

/// Changes of rows of software versions. All of them are written, or none if any of the rows is not
/// of the revision that is given here.
struct VersionChanges
{
    std::vector<VersionRow> puts;
    std::vector<VersionRow> removals;

    bool isEmpty() const { return puts.empty() && removals.empty(); }
};

/// Result of writing rows of software versions.
struct VersionWriting
{
    /// Whether the rows were written; otherwise another host has written meanwhile.
    bool isWritten = false;
    /// Version of the store at which they were written.
    std::uint64_t revision = 0;
};

/// A row that tells which streams servers of which versions have begun.
struct StreamRow
{
    /// Keys grow with the time at which their rows were written. No key is used twice.
    std::string key;
    /// Time of the store's clock at which the row was written.
    Base::Milliseconds writtenAt{0};
    std::vector<Routing::StreamReport> begun;

    bool operator==(const StreamRow &) const = default;
};

/// One page of the rows of streams.
struct StreamReading
{
    std::vector<StreamRow> rows;
    /// Keys of rows that cannot be parsed.
    std::vector<std::string> malformed;
    /// Where the next page begins; empty on the last page.
    std::string continueFrom;
    /// Current time of the store's own steady clock.
    Base::Milliseconds storeTime{0};
};

/// Changes of rows of streams, which are written in one transaction.
struct StreamChanges
{
    std::vector<StreamRow> puts;
    /// Keys of the rows that are removed.
    std::vector<std::string> removals;

    bool isEmpty() const { return puts.empty() && removals.empty(); }
};

/// One page of the entries of backend servers, or the changes of entries since some version.
struct ServerReading
{
    std::uint64_t storeVersion = 0;
    /// Version of the store at which the newest of these entries was written or removed; 0 if there
    /// are none.
    std::uint64_t newestEntryVersion = 0;
    std::vector<Routing::RegisteredServer> servers;
    /// Keys of entries that were removed; empty for a page of entries.
    std::vector<std::string> removed;
    /// Keys of entries that cannot be parsed or hold values that no server writes; they are not
    /// used.
    std::set<std::string> unreadable;
    /// Where the next page begins; empty on the last page.
    std::string continueFrom;
};

/// The row by which other gateway hosts discover a host.
struct HostRow
{
    Base::HostId host;
    Base::ZoneId zone;
    std::string peerAddress;

    bool operator==(const HostRow &) const = default;
};

/// One page of the rows of gateway hosts.
struct HostReading
{
    /// The rows that are not too old.
    std::vector<HostRow> hosts;
    /// Where the next page begins; empty on the last page.
    std::string continueFrom;
    /// Current time of the store's own steady clock.
    Base::Milliseconds storeTime{0};
};

/// Encodes calls to the deployment's store and decodes their answers; it makes no decisions. Every
/// decoding function accepts arbitrary bytes and fails with StoreRefused, StoreHistoryGone or
/// MalformedStoreAnswer. Other programs may write rows of servers and hosts, too: a row that cannot
/// be parsed is left out and does not affect the others.
class StoreProtocol
{
public:
    virtual ~StoreProtocol() = default;

    virtual HttpCall readConfiguration() const = 0;
    /// A long poll: the store answers on the first change after \a version, or once \a wait is
    /// over.
    virtual HttpCall watchConfiguration(std::uint64_t version, Base::Milliseconds wait) const = 0;
    virtual Base::Result<ConfigurationReading> configuration(const HttpAnswer &answer) const = 0;

    /// Reads the first page if \a continueFrom is empty, else the page that begins there.
    virtual HttpCall readServers(const std::string &continueFrom) const = 0;
    /// Reads the entries of servers that have changed after \a version. An entry that its server
    /// has only confirmed has not changed.
    virtual HttpCall readServerChanges(std::uint64_t version) const = 0;
    virtual Base::Result<ServerReading> servers(const HttpAnswer &answer) const = 0;

    /// Reads the first page if \a continueFrom is empty, else the page that begins there.
    virtual HttpCall readHosts(const std::string &continueFrom) const = 0;
    /// Leaves out rows that are older than \a freshFor by the store's clock.
    virtual Base::Result<HostReading> hosts(const HttpAnswer &answer,
                                            Base::Milliseconds freshFor) const = 0;
    /// Writes \a rows, at most 100, stamped with \a storeTime.
    virtual HttpCall writeHosts(const std::vector<HostRow> &rows,
                                Base::Milliseconds storeTime) const = 0;
    virtual HttpCall removeHost(const Base::HostId &host) const = 0;

    virtual HttpCall readRollouts() const = 0;
    virtual Base::Result<RolloutReading> rollouts(const HttpAnswer &answer) const = 0;
    /// Writes \a state, for the gateways and for the operator, if the state in the store is still
    /// the one of \a previousRevision; 0 if there is none yet.
    virtual HttpCall writeRollout(const Routing::RolloutState &state,
                                  std::uint64_t previousRevision) const = 0;
    virtual Base::Result<RolloutWriting> rolloutWritten(const HttpAnswer &answer) const = 0;

    /// Reads the first page if \a continueFrom is empty, else the page that begins there.
    virtual HttpCall readVersions(const std::string &continueFrom) const = 0;
    virtual Base::Result<VersionReading> versions(const HttpAnswer &answer) const = 0;
    virtual HttpCall writeVersions(const VersionChanges &changes) const = 0;
    virtual Base::Result<VersionWriting> versionsWritten(const HttpAnswer &answer) const = 0;

    /// Reads the first page if \a continueFrom is empty, else the page that begins there.
    virtual HttpCall readStreams(const std::string &continueFrom) const = 0;
    virtual Base::Result<StreamReading> streams(const HttpAnswer &answer) const = 0;
    virtual HttpCall writeStreams(const StreamChanges &changes) const = 0;
    virtual Base::Result<void> streamsWritten(const HttpAnswer &answer) const = 0;
};

} // namespace Gateway
