#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Routing {

/// One start of a backend server. The same server may start again under the name that it had; it
/// then keeps and knows nothing of before, so it is another server for every decision.
struct ServerStart
{
    /// What the server calls itself; the same for all its starts.
    std::string name;
    /// Unix time of the start, as the server tells it; 0 if it does not.
    Base::Milliseconds at{0};

    bool operator==(const ServerStart &) const = default;
};

/// Names one start: no two starts of one server have the same.
Base::ServerId idOf(const ServerStart &start);

/// A backend server as it registered itself in the store.
struct RegisteredServer
{
    /// One start of a server, idOf() it; never used again.
    Base::ServerId id;
    ServerStart start;
    std::string service;
    /// "IP:PORT"; may be given to another server later.
    std::string address;
    Base::ZoneId zone;
    /// Requests that it runs at once.
    std::uint32_t slots = 1;
    bool isLeaving = false;
    /// How much longer the server is slow after its start.
    Base::Milliseconds warmingUp{0};

    bool operator==(const RegisteredServer &) const = default;
};

/// One thing that happened to a backend server.
struct ServerChange
{
    enum class Kind : std::uint8_t {
        Found,   ///< It may get work now.
        Leaving, ///< It says that it leaves: for good.
        Gone,    ///< Its entry is missing.
    };

    Kind kind = Kind::Found;
    /// Of one that is leaving or gone only the id counts.
    RegisteredServer server;

    bool operator==(const ServerChange &) const = default;
};

/// What a reading of the store changed.
struct ServerChanges
{
    std::vector<Base::ServerId> found;
    std::vector<Base::ServerId> leaving;
    std::vector<Base::ServerId> gone;

    bool isEmpty() const { return found.empty() && leaving.empty() && gone.empty(); }
};

/// The backend servers that may get work.
///
/// Two things are kept apart that look alike in a list. A server that says that it leaves is
/// leaving for good, whatever an older reading says later: its id is never used again. An entry
/// that is missing means that the server is gone, but not while the store is away or has just
/// come back: entries lapse there although their servers run, and using none of them would stop
/// all work. They are kept until \a returnGrace after the store's return, also if another host,
/// which may not have met the outage, says that they are gone. A host that did not call the store
/// during the outage knows it by what others report and by most entries missing at once.
///
/// A later start of a server replaces the earlier one at once. An earlier one never comes back,
/// whoever tells of it: its connections are dead, and what it kept of prompts is lost.
class ServerSet
{
public:
    explicit ServerSet(Base::Duration returnGrace)
        : m_returnGrace(returnGrace)
    {}

    /// The store answered with all entries. Readings are given in the order of their questions.
    ServerChanges apply(const std::vector<RegisteredServer> &listed, Base::TimePoint now);
    /// What another host saw happen, in that order. May be given again, and with a part left out:
    /// the fingerprints then tell that the sets differ.
    ServerChanges applyChanges(const std::vector<ServerChange> &changes, Base::TimePoint now);
    /// What happened within the last second, in order, for hosts that do not read the store.
    std::vector<ServerChange> recentChanges(Base::TimePoint now) const;
    /// The store did not answer in time, or refused.
    void storeFailed(Base::TimePoint now);
    /// Another host tells that it lost the store at \a lostAt, by this host's clock.
    void outageReported(Base::TimePoint lostAt);

    bool isKnown() const { return m_isKnown; }
    /// Whether an entry that is missing counts as gone: the store neither is away, as seen from
    /// here, nor has just come back. Else another host's set is the better one.
    bool isAuthoritative(Base::TimePoint now) const { return !m_isStoreAway && !keepsMissing(now); }
    /// Since when the store does not answer this host; empty while it does.
    std::optional<Base::TimePoint> storeUnreachableSince() const;
    /// The same for two sets with the same usable servers.
    std::uint64_t fingerprint() const;
    /// Null for one that is leaving, gone or never seen.
    const RegisteredServer *usable(const Base::ServerId &id) const;
    const std::map<Base::ServerId, RegisteredServer> &servers() const { return m_servers; }

private:
    struct Dated
    {
        ServerChange change;
        Base::TimePoint at;
    };

    /// False if nothing changed by it.
    bool applyOne(const ServerChange &change);
    /// Whether a later start of the same server is known.
    bool isOutdated(const ServerStart &start) const;
    /// Notes the start if it is the latest one of its server, and removes the one before it.
    void supersede(const ServerStart &start, ServerChanges &changes);
    void note(const ServerChanges &changes, Base::TimePoint now);
    bool keepsMissing(Base::TimePoint now) const;
    /// Whether \a present lacks so many servers that their entries must have lapsed in an outage
    /// that another host met.
    bool isLapse(const std::set<Base::ServerId> &present, Base::TimePoint now) const;

    Base::Duration m_returnGrace;
    std::map<Base::ServerId, RegisteredServer> m_servers;
    /// Ids that have ever been seen leaving.
    std::set<Base::ServerId> m_ended;
    /// Of each server, by name, the latest start that was ever seen.
    std::map<std::string, Base::Milliseconds> m_latestStarts;
    bool m_isKnown = false;
    bool m_isStoreAway = false;
    Base::TimePoint m_storeAwayAt{};
    Base::TimePoint m_storeBackAt = Base::TimePoint::min();
    Base::TimePoint m_otherOutageAt = Base::TimePoint::min();
    std::deque<Dated> m_recent;
};

} // namespace Routing
