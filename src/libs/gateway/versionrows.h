#pragma once

#include "gateway/httpclient.h"
#include "gateway/storeprotocol.h"
#include "routing/exponentialbackoff.h"
#include "routing/streamorigins.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

class EventLog;
class GatewayMetrics;

/// Keeps in the store which software versions have served, so that hosts that start learn of
/// versions whose last server was gone before, even if no other host is left to tell.
///
/// Each host reads the rows when it does not know what happened before, which is after its start
/// and after it was cut off. One host writes them for the fleet when a version appears and when its
/// last server is gone. Hosts may disagree on which one it is, so each write is bound to the rows
/// that it is based on; if it fails, the rows are read again.
class VersionRows
{
public:
    struct Dependencies
    {
        boost::asio::io_context &io;
        const StoreProtocol &protocol;
        Routing::StreamOrigins &origins;
        EventLog &log;
        GatewayMetrics &metrics;
    };
    /// What is served now, and what this host has to do.
    struct View
    {
        /// The versions of the servers in use.
        std::set<Routing::ServiceVersion> used;
        /// Whether this host forwards requests, and knows its list of servers to be current.
        bool needsHistory = false;
        /// Whether this host writes for the fleet, and knows its list of servers to be current.
        bool isWriter = false;
    };

    /// The dependencies must outlive this object.
    VersionRows(const Settings::Address &store, const Dependencies &dependencies);

    /// Starts the call that is due. Must be called every few tens of milliseconds while the store
    /// takes calls of this host.
    void advance(const View &view, Base::TimePoint now);

private:
    void read(Base::TimePoint now);
    void rowsAnswered(const std::optional<HttpAnswer> &answer);
    void takePage(const VersionReading &reading, Base::TimePoint now);
    /// Writes what differs between the rows and what this host knows, if anything does.
    void write(const View &view, Base::TimePoint now);
    void written(const VersionWriting &writing, const VersionChanges &changes);
    VersionChanges changesFor(const View &view, Base::TimePoint now) const;
    void callFailed(const char *why);
    /// Returns the store's time at the moment \a at of this host's clock.
    Base::Milliseconds storeTime(Base::TimePoint at) const;

    Dependencies m_dependencies;
    std::shared_ptr<HttpClient> m_client;
    std::map<Routing::ServiceVersion, VersionRow> m_rows;
    /// The remembered versions whose servers this host has used itself. Only these are added to the
    /// rows: what other hosts report may be anything.
    std::set<Routing::ServiceVersion> m_usedHere;
    /// Rows that cannot be read. The writer removes them.
    std::vector<VersionRow> m_malformedRows;
    /// Where the next page begins; empty for the first one.
    std::string m_nextPage;
    /// The store's clock at a moment of this host's clock; empty until the rows were read.
    std::optional<std::pair<Base::Milliseconds, Base::TimePoint>> m_storeTime;
    Routing::ExponentialBackoff m_pause;
    Base::TimePoint m_nextCall{};
    bool m_areRowsKnown = false;
    bool m_wasWriter = false;
};

} // namespace Gateway
