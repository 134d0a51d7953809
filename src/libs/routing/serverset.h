#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Routing {

/// A backend server as it registered itself in the store.
struct RegisteredServer
{
    /// One start of a server; never used again.
    Base::ServerId id;
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
/// all work. They are kept until \a returnGrace after the store's return.
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

    bool isKnown() const { return m_isKnown; }
    /// Whether an entry that is missing counts as gone: the store neither is away, as seen from
    /// here, nor has just come back. Else another host's set is the better one.
    bool isSettled(Base::TimePoint now) const { return !m_isStoreAway && !keepsMissing(now); }
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
    void note(const ServerChanges &changes, Base::TimePoint now);
    bool keepsMissing(Base::TimePoint now) const;

    Base::Duration m_returnGrace;
    std::map<Base::ServerId, RegisteredServer> m_servers;
    /// Ids that have ever been seen leaving or gone.
    std::set<Base::ServerId> m_ended;
    bool m_isKnown = false;
    bool m_isStoreAway = false;
    Base::TimePoint m_storeBackAt = Base::TimePoint::min();
    std::deque<Dated> m_recent;
};

} // namespace Routing
