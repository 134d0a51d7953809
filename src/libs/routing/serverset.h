#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Routing {

/// One start of a backend server. A server may start again under the name that it had. It has then
/// lost its state, so every decision treats it as another server.
struct ServerStart
{
    /// The name that the server registers; it is the same for all its starts.
    std::string name;
    /// The Unix time of the start as the server reports it; 0 if it does not.
    Base::Milliseconds at{0};

    bool operator==(const ServerStart &) const = default;
};

/// Returns the id of one start. No two starts of one server have the same id.
Base::ServerId idOf(const ServerStart &start);

/// A backend server as it registered itself in the store.
struct RegisteredServer
{
    /// The id of this start of the server as idOf() returns it. It is never used again.
    Base::ServerId id;
    ServerStart start;
    std::string service;
    /// The address as "IP:PORT". Another server may get it later.
    std::string address;
    Base::ZoneId zone;
    /// The version of the server's software. Versions have no order.
    std::string softwareVersion;
    /// The number of requests that the server runs at once.
    std::uint32_t slots = 1;
    bool isLeaving = false;
    /// The remaining time for which the server warms up, as it told in its entry.
    Base::Milliseconds warmingUp{0};

    bool operator==(const RegisteredServer &) const = default;
};

/// A change of a backend server's state.
struct ServerChange
{
    enum class Kind : std::uint8_t {
        Found,   ///< The server may get requests now, or its warm-up has begun anew.
        Leaving, ///< The server announced that it leaves. This is final.
        Gone,    ///< The server's entry is missing.
    };

    Kind kind = Kind::Found;
    /// The server that changed. For kinds other than Found, only its id is valid.
    RegisteredServer server;

    bool operator==(const ServerChange &) const = default;
};

/// The number of servers of each software version of each service.
using ServerVersions = std::map<std::string, std::map<std::string, std::size_t>>;

/// The ids of the servers whose state changed by a reading of the store or by a report.
struct ServerChanges
{
    std::vector<Base::ServerId> found;
    std::vector<Base::ServerId> leaving;
    std::vector<Base::ServerId> gone;
    /// The servers that warm up longer than was known before.
    std::vector<Base::ServerId> warmingUp;

    bool isEmpty() const
    {
        return found.empty() && leaving.empty() && gone.empty() && warmingUp.empty();
    }
};

/// The set of backend servers that may get requests.
///
/// It distinguishes two cases that look alike in a list. A server that announces that it leaves is
/// gone forever, whatever an older reading says later: its id is never used again. A server whose
/// entry is missing is gone too, except while the store is unreachable or has just become reachable
/// again. Entries expire during an outage although their servers run, and dropping them all would
/// leave requests without a server. Therefore missing entries are kept until \a gracePeriod after
/// the store's return, also if another host, which may not have noticed the outage, reports them as
/// gone. A host that did not call the store during the outage detects it by the reports of other
/// hosts and by most entries missing at once.
///
/// A later start of a server replaces the earlier one at once. An earlier start never comes back,
/// whoever reports it: its connections are dead, and its cached prompt parts are lost.
class ServerSet
{
public:
    explicit ServerSet(Base::Duration gracePeriod)
        : m_gracePeriod(gracePeriod)
    {}

    /// Applies a complete list of entries that the store returned. Lists must be applied in the
    /// order in which they were requested.
    ServerChanges apply(const std::vector<RegisteredServer> &listed, Base::TimePoint now);
    /// Applies changes that another host saw, in their order. Changes may be repeated or partly
    /// lost; in the latter case the fingerprints show that the sets differ.
    ServerChanges applyChanges(const std::vector<ServerChange> &changes, Base::TimePoint now);
    /// Returns the changes of the last second in their order, for hosts that do not read the store.
    std::vector<ServerChange> recentChanges(Base::TimePoint now) const;
    /// Records that the store did not answer in time, or refused the request.
    void storeFailed(Base::TimePoint now);
    /// Records that another host lost the store at \a lostAt, in terms of this host's clock.
    void outageReported(Base::TimePoint lostAt);

    bool isKnown() const { return m_isKnown; }
    /// Returns whether a missing entry means that the server is gone: the store is reachable from
    /// here and did not just become reachable again. Otherwise another host's set is more reliable.
    bool isAuthoritative(Base::TimePoint now) const
    {
        return !m_isStoreUnreachable && !isInGracePeriod(now);
    }
    /// Returns the time since which the store does not answer this host, or nothing while it does.
    std::optional<Base::TimePoint> storeUnreachableSince() const;
    /// Returns a hash that is the same for two sets with the same usable servers. It is kept up to
    /// date with each change, since it is compared with each report.
    std::uint64_t fingerprint() const { return m_fingerprint; }
    /// Returns the numbers of usable servers, which are kept up to date, too.
    const ServerVersions &versions() const { return m_versions; }
    /// Returns the numbers of servers that the last list of entries showed as leaving. They get no
    /// new work, but may still work on open streams.
    const ServerVersions &leavingVersions() const { return m_leavingVersions; }
    /// Returns the server with \a id, or null if it is leaving, gone or unknown.
    const RegisteredServer *usable(const Base::ServerId &id) const;
    const std::map<Base::ServerId, RegisteredServer> &servers() const { return m_servers; }
    /// Returns the time until which the server warms up; a time in the past if it does not.
    Base::TimePoint warmUntil(const Base::ServerId &id) const;
    /// Returns all usable servers, as changes for a host that has no list yet.
    std::vector<ServerChange> asChanges(Base::TimePoint now) const;

private:
    struct TimedChange
    {
        ServerChange change;
        Base::TimePoint at;
    };

    /// Adds a usable server, or replaces what is known of it. Returns whether it is new.
    bool insert(const RegisteredServer &server);
    /// Returns false if there is no such server.
    bool erase(const Base::ServerId &id);
    void addToSums(const RegisteredServer &server);
    void subtractFromSums(const RegisteredServer &server);
    /// Returns false if \a change has no effect.
    bool applyChange(const ServerChange &change);
    /// Returns whether a later start of the same server is known.
    bool isOutdated(const ServerStart &start) const;
    /// Records the start if it is the latest one of its server, and removes the previous one.
    void supersede(const ServerStart &start, ServerChanges &changes);
    void recordChanges(const ServerChanges &changes, Base::TimePoint now);
    /// Records the warm-up that an entry of the store tells. Returns whether it is a new one.
    bool recordEntryWarmUp(const RegisteredServer &server, Base::TimePoint now);
    /// Records the remaining warm-up that another host reports. Returns whether it is a new one.
    bool recordReportedWarmUp(const RegisteredServer &server, Base::TimePoint now);
    /// Returns \a server with the warm-up that remains at \a now.
    RegisteredServer withRemainingWarmUp(const RegisteredServer &server, Base::TimePoint now) const;
    bool isInGracePeriod(Base::TimePoint now) const;
    /// Returns whether \a present lacks so many servers that their entries must have expired in an
    /// outage that another host noticed.
    bool isMassExpiry(const std::set<Base::ServerId> &present, Base::TimePoint now) const;

    Base::Duration m_gracePeriod;
    std::map<Base::ServerId, RegisteredServer> m_servers;
    std::uint64_t m_fingerprint = 0;
    ServerVersions m_versions;
    ServerVersions m_leavingVersions;
    /// The ids of all servers that were ever seen leaving.
    std::set<Base::ServerId> m_left;
    /// The latest start that was ever seen of each server, by the server's name.
    std::map<std::string, Base::Milliseconds> m_latestStarts;
    /// The time until which each server warms up, for those that ever told one.
    std::map<Base::ServerId, Base::TimePoint> m_warmUntil;
    bool m_isKnown = false;
    bool m_isStoreUnreachable = false;
    Base::TimePoint m_storeLostAt{};
    Base::TimePoint m_storeRegainedAt = Base::TimePoint::min();
    Base::TimePoint m_peerOutageAt = Base::TimePoint::min();
    std::deque<TimedChange> m_recent;
    /// Time at which there were more changes than are reported.
    std::optional<Base::TimePoint> m_overflowedAt;
};

} // namespace Routing
