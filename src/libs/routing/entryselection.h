#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Routing {

/// Thousandths of a processor core.
using MilliCores = std::uint32_t;

/// A host that accepts requests, with the values that decide whether callers are told to use it.
struct EntryHost
{
    Base::HostId host;
    Base::ZoneId zone;
    /// The address for callers, as "IP:PORT".
    std::string address;
    MilliCores capacity = 1000;
    /// The processor time that the requests forwarded by the host take.
    MilliCores load = 0;
};

/// Selects the entry hosts. These are the hosts that callers are told to use: the strongest ones,
/// as many as the load needs.
///
/// A fleet may have many small hosts and a few strong ones. If all of them accepted requests, each
/// would hold connections to every server that stay idle until the server closes them, would decide
/// with reports of sixty others that are half a second old, and a small host would fall behind in a
/// burst. The strong hosts alone have capacity for several times the load, make a larger part of
/// the decisions themselves, and reuse their connections. The other hosts are in reserve: they are
/// listed as soon as the load grows or strong hosts are lost.
///
/// Some hosts of each availability zone are always listed, so that entry hosts remain if a zone is
/// lost. The required capacity falls slowly, so that callers keep their connections when the load
/// varies.
class EntrySelection
{
public:
    /// Updates the selection. \a hosts are all hosts that may be listed now, in any order.
    void update(std::vector<EntryHost> hosts, Base::TimePoint now);
    /// Returns the selected hosts in the order of preference.
    const std::vector<EntryHost> &chosen() const { return m_chosen; }
    bool isChosen(const Base::HostId &host) const;

private:
    std::vector<EntryHost> m_chosen;
    double m_requiredCapacity = 0;
    Base::TimePoint m_updatedAt = Base::TimePoint::min();
};

} // namespace Routing
