#pragma once

#include "gateway/hostreport.h"

#include <map>
#include <set>
#include <vector>

namespace Gateway {

using Members = std::map<Base::HostId, MemberState>;

/// Returns the hosts that callers may be told of: in each availability zone the strongest ones that
/// can serve, with several times the capacity that the present load needs. The number does not
/// depend on the number of hosts.
std::set<Base::HostId> entryCandidates(const Members &members);

/// Returns the hosts that each host of \a zone needs to know in a fleet so large that it cannot
/// know all: the next leaders of each zone, the hosts that callers may be told of, and those that
/// forward most requests.
std::vector<MemberState> essentialMembers(const Members &members, const Base::ZoneId &zone);

} // namespace Gateway
