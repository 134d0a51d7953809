#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/prefixfetch.h"
#include "routing/serverpool.h"
#include "routing/work.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Routing {

/// Chooses the server of a request.
///
/// The choice compares estimates of the time to the first event in milliseconds. They include the
/// prompt tokens that this host and the others sent to the server and that it has not read yet, the
/// tokens of this prompt that the server has not cached, the requests that run there, its recent
/// slowness, and its recent failures. A prompt goes to a server that has its beginning cached, also
/// if that server is free a little later than others. Further servers read the beginning when the
/// ones that have it cached are busy. All hosts send a beginning that is not cached anywhere to the
/// same server, which rendezvous hashing selects. Servers of a plain application are drawn.
class ServerChoice
{
public:
    struct Candidate
    {
        ServerState *state = nullptr;
        double milliseconds = 0;
        std::uint32_t unreadTokens = 0;
        bool hasRoom = false;
        std::optional<FetchPlan> fetch;
    };

    ServerChoice(const Base::ZoneId &ownZone, const Base::HostId &self);

    /// Sets the region of this host.
    void setOwnRegion(const Base::RegionId &region) { m_ownRegion = region; }

    /// Returns the server with the lowest estimated cost, or nothing if no server qualifies. If
    /// that server has no capacity, the request should wait for it, since any other server would
    /// serve it later. With \a onlyWithCapacity, only servers that have capacity count.
    std::optional<Candidate> select(ServerPool &pool, const Work &work, Base::TimePoint now,
                                    Admission admission, bool onlyWithCapacity = false);

private:
    /// The state of the cached copies of one prompt's beginning.
    struct CachedPrefix
    {
        /// The largest number of the prompt's tokens that one server has cached.
        std::uint32_t maxTokens = 0;
        /// The server that rendezvous hashing selects for a beginning that no server has cached
        /// completely. It is null if a server has.
        const ServerState *rendezvousServer = nullptr;
        PrefixFetch fetch;
    };

    /// Collects the servers to look at: all of a small pool; of a large one those that may have the
    /// beginning cached, those that all hosts choose for it, and \a sample others.
    void collect(ServerPool &pool, const Work &work, const std::vector<PrefixHash> &prefixes,
                 std::size_t sample);
    /// Returns the best one of the collected servers.
    std::optional<Candidate> selectCollected(ServerPool &pool, const Work &work,
                                             const std::vector<PrefixHash> &prefixes,
                                             Base::TimePoint now, Admission admission,
                                             bool onlyWithCapacity);
    /// Returns the server that all hosts choose for a beginning that is not cached anywhere.
    const ServerState *rendezvousServer(ServerPool &pool, const Work &work, std::uint64_t beginning,
                                        Base::TimePoint now) const;
    /// Returns one of the servers of a plain application, by a hash of the request, in this host's
    /// region while one there has capacity. Dozens of hosts
    /// see the same counts of what runs, half a second old: if they chose the server with the least
    /// work, they would fill its queue while others are idle.
    std::optional<Candidate> drawPlainServer(ServerPool &pool, const Work &work,
                                             Base::TimePoint now) const;
    /// Returns the largest number of the current request's tokens that a server has cached that may
    /// get requests now.
    std::uint32_t maxUsableCached(const ServerPool &pool, const Work &work,
                                  Base::TimePoint now) const;
    /// Returns a hash that differs for each call and each host.
    std::uint64_t nextDraw();
    /// Estimates the cost of the request at a server that has \a cachedTokens of its prompt cached.
    Candidate evaluate(const ServerPool &pool, ServerState &state, const ServerSnapshot &snapshot,
                       const Work &work, std::uint32_t cachedTokens, const CachedPrefix &prompt,
                       Base::TimePoint now) const;
    /// Returns the servers from which others can fetch the beginning of the request's prompt.
    std::vector<PrefixSource> sourcesFor(const ServerPool &pool, const Work &work,
                                         const std::vector<PrefixHash> &prefixes,
                                         Base::TimePoint now) const;

    Base::ZoneId m_ownZone;
    Base::RegionId m_ownRegion;
    /// Makes the choices of different hosts independent of each other.
    std::uint64_t m_hostHash;
    std::uint64_t m_draws = 0;
    /// The servers that the current choice looks at, by their ids.
    std::vector<ServerState *> m_collected;
    std::vector<Base::ServerId> m_collectedIds;
    /// The tokens of the current request's prompt that each of these servers has cached.
    std::vector<std::uint32_t> m_cachedTokens;
};

} // namespace Routing
