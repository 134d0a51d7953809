#pragma once

#include "base/ids.h"
#include "routing/servercost.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// A server that has read a prompt's beginning and has it cached.
struct PrefixSource
{
    Base::ServerId server;
    Base::ZoneId zone;
    /// The number of tokens of the beginning that others can fetch from it now.
    std::uint32_t tokens = 0;
    /// The time in milliseconds for the transfers that are queued at the server.
    double queuedMilliseconds = 0;
    std::string softwareVersion = {};
    Base::RegionId region = {};
};

/// The plan that a server fetches a prompt's beginning from another server instead of reading it.
struct FetchPlan
{
    Base::ServerId from;
    /// The number of tokens to fetch beyond those that the server has cached itself.
    std::uint32_t tokens = 0;
    /// The time in milliseconds until the tokens have arrived.
    double milliseconds = 0;
};

/// Decides from which server another one fetches the beginning of a prompt, and whether fetching is
/// worth it.
///
/// A few beginnings make up most of the load, so the servers that have one cached are busy while
/// others are idle and read it again. Without fetches this is up to a sixth of all tokens read. A
/// fetch costs a round trip and the transfer of the KV cache over the servers' links. The
/// configuration gives the size of the KV cache and the bandwidth of the links, so nothing is
/// assumed about a deployment: where links are slow or the KV cache is large, servers read the
/// beginning instead.
class PrefixFetch
{
public:
    PrefixFetch(const ServerCost &cost, std::vector<PrefixSource> sources);

    /// Returns the best fetch for \a server in \a zone that has \a cachedTokens itself, or nothing
    /// if reading is cheaper. What a server of another software version has cached does not fit.
    /// Nothing is fetched from another region: the KV cache of one prompt would fill the link
    /// between two regions for seconds.
    std::optional<FetchPlan> plan(const Base::ServerId &server, const Base::ZoneId &zone,
                                  std::uint32_t cachedTokens,
                                  const std::string &softwareVersion = {},
                                  const Base::RegionId &region = {}) const;

private:
    const ServerCost *m_cost;
    /// The best source of each zone and software version.
    std::vector<PrefixSource> m_sources;
};

} // namespace Routing
