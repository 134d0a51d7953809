#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/promptcachemodel.h"
#include "routing/serverset.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Routing {

/// Finds the few servers of a large pool that are worth a look for a request, so that a choice
/// takes the same time in a pool of ten thousand servers as in one of five hundred.
///
/// Servers are points on a ring, at the hash of their ids. The servers that follow the hash of a
/// beginning are the same at all hosts that know the same servers, and change little when servers
/// come and go. Those that follow a hash of the request are a sample.
class ServerIndex
{
public:
    void setServers(const std::vector<RegisteredServer> &servers);
    /// Records that a prompt with the prefix \a hash was sent to \a server.
    void recordUse(const Base::ServerId &server, std::uint64_t hash, Base::TimePoint now);
    void evictExpired(Base::TimePoint now);

    /// Appends the servers that may have one of \a prefixes cached, those with the longest first.
    void appendKeepers(const std::vector<PrefixHash> &prefixes,
                       std::vector<Base::ServerId> &to) const;
    /// Appends the \a n servers that follow \a hash on the ring.
    void appendSuccessors(std::uint64_t hash, std::size_t n, std::vector<Base::ServerId> &to) const;
    /// Appends the same of the servers of \a zone.
    void appendSuccessors(const Base::ZoneId &zone, std::uint64_t hash, std::size_t n,
                          std::vector<Base::ServerId> &to) const;

private:
    /// Servers by the hashes of their ids.
    using Ring = std::vector<std::pair<std::uint64_t, Base::ServerId>>;
    struct Keeper
    {
        Base::ServerId server;
        Base::TimePoint usedAt;
    };

    static void appendSuccessors(const Ring &ring, std::uint64_t hash, std::size_t n,
                                 std::vector<Base::ServerId> &to);

    Ring m_ring;
    std::map<Base::ZoneId, Ring> m_rings;
    /// The servers to which a prefix was sent in its lifetime, by the prefix's hash.
    std::unordered_map<std::uint64_t, std::vector<Keeper>> m_keepers;
};

} // namespace Routing
