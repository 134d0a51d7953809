#include "gateway/serverchangelog.h"

#include <algorithm>
#include <string>
#include <vector>

namespace Gateway {

namespace {

/// Servers of one kind of change that are named. A rack or a group of servers that comes or goes
/// together has fewer.
constexpr std::size_t maxNamedServers = 64;

void logServers(EventLog &log, const std::string &change, const std::vector<Base::ServerId> &ids,
                Base::TimePoint now)
{
    const std::size_t named = std::min(ids.size(), maxNamedServers);
    for (std::size_t i = 0; i < named; ++i)
        log.write(LogLine("server." + change).add("server", ids[i].value()), now);
    if (named < ids.size())
        log.write(LogLine("servers." + change).add("count", ids.size()).add("named", named), now);
}

} // namespace

void logServerChanges(EventLog &log, const Routing::ServerChanges &changes, Base::TimePoint now)
{
    logServers(log, "found", changes.found, now);
    logServers(log, "leaving", changes.leaving, now);
    logServers(log, "gone", changes.gone, now);
}

} // namespace Gateway
