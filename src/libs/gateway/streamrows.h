#pragma once

#include "base/ids.h"
#include "gateway/httpclient.h"
#include "gateway/storeprotocol.h"
#include "routing/exponentialbackoff.h"
#include "routing/streamorigins.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

class EventLog;
class GatewayMetrics;

/// Keeps in the store which software version began each stream, so that streams go on after all
/// hosts have ended. This costs nothing while each service has servers of one version only.
///
/// One host writes for the fleet, several times a second, a row with the streams that have begun
/// since. It learns of the others' streams from their reports. Hosts may disagree on which one it
/// is: both then write, each with keys of its own, and what is stored twice does no harm. A host
/// that has started, or that was cut off, reads all rows, unless another host has told it that one
/// version alone has served.
class StreamRows
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
    /// What this host has to do.
    struct View
    {
        /// Whether this host forwards requests, and knows its list of servers to be current.
        bool needsOrigins = false;
        /// Whether this host writes for the fleet, and knows its list of servers to be current.
        bool isWriter = false;
    };

    /// \a writer tells the rows of this start of this host from those of all others. The
    /// dependencies must outlive this object.
    StreamRows(const Settings::Address &store, std::string writer,
               const Dependencies &dependencies);

    /// Starts the call that is due. Must be called every few tens of milliseconds while the store
    /// takes calls of this host.
    void advance(const View &view, Base::TimePoint now);

private:
    void read(Base::TimePoint now);
    void rowsAnswered(const std::optional<HttpAnswer> &answer);
    void takePage(const StreamReading &reading, Base::TimePoint now);
    /// Writes the streams that the store does not have yet, and removes rows that are too old.
    void write(Base::TimePoint now);
    void written(const StreamChanges &changes);
    StreamChanges dueChanges(Base::TimePoint now);
    /// Adds \a begun to the last row of \a changes, and to new ones for what does not fit.
    void addTo(StreamChanges &changes, const Routing::StreamReport &begun, Base::Milliseconds time);
    void callFailed(const char *why);
    Base::Milliseconds storeTime(Base::TimePoint now) const;

    Dependencies m_dependencies;
    std::shared_ptr<HttpClient> m_client;
    std::string m_writer;
    /// Numbers the rows of this host.
    std::uint64_t m_lastRow = 0;
    /// What may still be added to the row that is being made.
    std::size_t m_rowBytesLeft = 0;
    /// When the known rows were written, by the store's clock.
    std::map<std::string, Base::Milliseconds> m_rows;
    std::size_t m_malformedRows = 0;
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
