#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/serverset.h"
#include "routing/versionhistory.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Routing {

/// A hash of the customer and of the id of the caller's attempt that began a stream.
using StreamId = std::uint64_t;

StreamId streamId(const Base::CustomerId &customer, const std::string &requestId);

/// Streams that servers of one version began, as hosts report them to each other.
struct StreamReport
{
    ServiceVersion origin;
    std::vector<StreamId> streams;

    bool operator==(const StreamReport &) const = default;
};

/// Where a stream may go on that its caller takes up.
struct Continuation
{
    enum class Kind {
        AnyServer,   ///< The service has had servers of one version only.
        SameVersion, ///< At a server of the version that began the stream.
        Unknown,     ///< Servers of several versions may have begun the stream.
        Unread,      ///< The store may know which version began the stream.
        Unproven,    ///< A version may have begun it that this host has not heard of yet.
        NoHistory,   ///< It is not known which versions have served.
        OldServers,  ///< It is not known which versions serve now.
    };

    /// Whether the stream may go on.
    bool isAllowed() const { return kind == Kind::AnyServer || kind == Kind::SameVersion; }

    Kind kind = Kind::AnyServer;
    /// The version that goes on with the stream. Empty if the stream may not go on, or if the
    /// service has had no servers.
    std::string softwareVersion;
};

/// Returns the name of \a kind in metrics.
const char *nameOf(Continuation::Kind kind);

/// Remembers which software version began each stream.
///
/// Servers of several versions may serve side by side in one service. What two versions write does
/// not fit together, and servers do not check what they continue. Callers take streams up at any
/// host, often because the host that began them has ended, so hosts tell each other the origins of
/// their streams while a service has servers of several versions, and all that they know to a host
/// that has started. An origin that is not known is never guessed: such a stream only goes on if it
/// is certain that one version alone can have begun it. For that, this host must know which
/// versions have served lately, also before its start, and that its list of servers is current.
///
/// All hosts may end at once, so the origins are also kept in the store while a service has servers
/// of several versions. \sa Gateway::StreamRows
class StreamOrigins
{
public:
    StreamOrigins();

    /// The host that began a stream, as seen from this one.
    enum class Source : std::uint8_t {
        Self,
        OwnZone,
        OtherZone,
        Store, ///< Any host; those that start read the store themselves.
    };

    /// Sets the longest time that a caller may wait for the end of a stream. Origins and versions
    /// are remembered for longer than that. A shorter time counts once the streams that began
    /// before have ended.
    void setLongestStream(Base::Duration time);
    /// For how long origins and versions are remembered.
    Base::Duration memory() const { return m_memory; }
    /// Notes the versions of the servers in use. Must be called when servers change, and every
    /// second.
    void setVersions(const ServerVersions &versions, Base::TimePoint now);
    /// Notes that servers of \a version were listed at \a seenAt, by whatever source.
    void recordVersion(const ServiceVersion &version, Base::TimePoint seenAt, Base::TimePoint now);
    /// The versions that may have begun open streams, as far as this host knows.
    const VersionHistory &versions() const { return m_versions; }
    /// Notes whether all versions are known that served before now.
    void setHistoryKnown(bool isKnown) { m_isHistoryKnown = isKnown; }
    bool isHistoryKnown() const { return m_isHistoryKnown; }
    /// Notes until when this host's list of servers counts as current. If it has not been current
    /// meanwhile, versions may have come and gone, and the history is not known any more.
    void setServersCurrentUntil(Base::TimePoint until, Base::TimePoint now);
    bool areServersCurrent(Base::TimePoint now) const { return now < m_serversCurrentUntil; }
    /// Notes that this host knows each version at which a stream began before \a time.
    void setVersionsProvedAt(Base::TimePoint time)
    {
        m_versionsProvedAt = std::max(m_versionsProvedAt, time);
    }
    /// Notes whether this host knows all origins that the store had when it was last cut off or
    /// started.
    void setStoredKnown(bool isKnown) { m_isStoredKnown = isKnown; }
    bool isStoredKnown() const { return m_isStoredKnown; }
    /// Whether a service has several remembered versions.
    bool isAnyMixed(Base::TimePoint now) const { return !m_versions.mixedServices(now).empty(); }
    /// Takes in what was stored \a age ago. A version that began streams may have no row of its
    /// own, if all hosts ended just then.
    void applyStored(const StreamReport &stored, Base::Duration age, Base::TimePoint now);
    /// Returns at most \a maxStreams origins that the store does not have, as far as this host
    /// knows, the oldest first. Only streams of services with several remembered versions are
    /// stored.
    std::vector<StreamReport> unstored(std::size_t maxStreams, Base::TimePoint now);
    /// Records that the store has the origins of \a streams.
    void recordStored(const std::vector<StreamId> &streams);
    /// Records that the first event of \a stream was forwarded by this host. Returns whether other
    /// hosts should be told at once: the service has several versions, and this host has not begun
    /// a stream at this one before.
    bool recordBegun(StreamId stream, const ServiceVersion &origin, Base::TimePoint now);
    /// Takes in what another host reports. If \a relays, this host's reports will contain it too.
    void apply(const std::vector<StreamReport> &reports, Source source, bool relays,
               Base::TimePoint now);
    /// Reports the streams of all hosts up to \a source anew, since another host has started.
    /// Returns whether there are any.
    bool repeatReports(Source source, Base::TimePoint now);
    /// Returns the origins that are due in a report, of the streams of all hosts up to \a source.
    std::vector<StreamReport> reports(Source source, Base::TimePoint now) const;

    /// Returns where \a stream of \a service may go on that its caller took up at \a takenUpAt. A
    /// version of which this host has not heard may have begun it, unless all that had begun
    /// streams by then are known: that they were known shortly before proves nothing.
    Continuation takeUp(const std::string &service, const std::optional<StreamId> &stream,
                        Base::TimePoint takenUpAt, Base::TimePoint now) const;
    /// Returns where \a stream of \a service may go on as far as this host knows; \a stream is
    /// empty if the caller does not name it.
    Continuation continuation(const std::string &service, const std::optional<StreamId> &stream,
                              Base::TimePoint now) const;
    /// Forgets what is too old.
    void advance(Base::TimePoint now);
    std::size_t size() const { return m_streams.size(); }

private:
    struct Entry
    {
        const ServiceVersion *origin = nullptr;
        Source source = Source::Self;
        Base::TimePoint knownAt;
        bool isStored = false;
    };
    struct TimedStream
    {
        StreamId stream = 0;
        Base::TimePoint at;
    };

    void add(StreamId stream, const ServiceVersion &origin, Source source, Base::TimePoint now);
    void removeOldest();
    void setMemory(Base::Duration memory);
    /// Shortens the memory when it is time to.
    void updateMemory(Base::TimePoint now);
    /// Reports all streams of \a service that hosts up to \a source began, a part at a time.
    void reportAll(Source source, const std::string &service, Base::TimePoint now);

    Base::Duration m_memory{};
    /// What the memory is to be for streams that begin now.
    Base::Duration m_newMemory{};
    /// When the memory may be shortened to the new one.
    std::optional<Base::TimePoint> m_shortenAt;
    /// Never shrinks; it has an element for each version of each service.
    std::set<ServiceVersion> m_origins;
    VersionHistory m_versions;
    /// The remembered versions at which this host has begun streams.
    std::set<ServiceVersion> m_begunVersions;
    bool m_isHistoryKnown = false;
    bool m_isStoredKnown = false;
    Base::TimePoint m_serversCurrentUntil = Base::TimePoint::min();
    Base::TimePoint m_versionsProvedAt = Base::TimePoint::min();
    std::unordered_map<StreamId, Entry> m_streams;
    /// The streams in the order in which they became known.
    std::deque<TimedStream> m_byAge;
    /// How many of the oldest elements of m_byAge need not be stored.
    std::size_t m_skippedByStoring = 0;
    /// The streams that are reported, with the time from which on.
    std::deque<TimedStream> m_reported;
};

} // namespace Routing
