#pragma once

#include "base/ids.h"
#include "routing/servercost.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Routing {

/// A server that has read a prompt's beginning and keeps it.
struct PrefixKeeper
{
    Base::ServerId server;
    Base::ZoneId zone;
    /// Tokens of the beginning that it can hand out now.
    std::uint32_t tokens = 0;
    /// What it is to hand out before, as time.
    double busyMilliseconds = 0;
};

/// That a server fetches a prompt's beginning from another one instead of reading it.
struct FetchPlan
{
    Base::ServerId from;
    /// Tokens that are fetched beyond those that the server keeps itself.
    std::uint32_t tokens = 0;
    /// Until they are there.
    double milliseconds = 0;
};

/// Decides from where a server fetches the beginning of a prompt that others keep, and whether that
/// pays.
///
/// Load: a few beginnings make up most of the load, so the servers that keep one are crowded while
/// others have room, and those read it again: up to a sixth of all tokens read. Fetching costs a
/// round trip and the bytes of the running memory over the servers' links, both of which the
/// configuration tells, so nothing is assumed of a deployment: where links are slow or memory is
/// large, reading remains.
class PrefixFetch
{
public:
    PrefixFetch(const ServerCost &cost, std::vector<PrefixKeeper> keepers);

    /// For a server in \a zone that keeps \a keptTokens itself; empty if reading is cheaper.
    std::optional<FetchPlan> plan(const Base::ServerId &server, const Base::ZoneId &zone,
                                  std::uint32_t keptTokens) const;

private:
    const ServerCost *m_cost;
    /// The best of each zone.
    std::vector<PrefixKeeper> m_keepers;
};

} // namespace Routing
