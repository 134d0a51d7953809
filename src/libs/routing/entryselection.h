#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Routing {

/// Thousandths of a processor core.
using MilliCores = std::uint32_t;

/// A host that takes requests, as far as the choice of entries goes.
struct EntryHost
{
    Base::HostId host;
    Base::ZoneId zone;
    /// "IP:PORT" for callers.
    std::string address;
    MilliCores capacity = 1000;
    /// What the requests that it forwards take.
    MilliCores load = 0;
};

/// Chooses the hosts that callers are told to use: the strongest ones, as many as the load needs.
///
/// Load: a fleet of many small hosts and a few strong ones. If all of them take requests, each one
/// has connections to every server that rest until the server closes them, decides with reports of
/// sixty others that are half a second old, and a small one falls behind in a burst. The strong
/// hosts alone have room for several times the load, decide for more of it themselves, and use
/// their connections again and again. The others stand by: they are named as soon as the load
/// grows or strong hosts are lost.
///
/// Some hosts of each availability zone are named whatever their strength, so that the loss of a
/// zone leaves entries. The need falls slowly, so that callers keep their connections when the
/// load swings.
class EntrySelection
{
public:
    /// \a hosts are those that may be named now, in any order.
    void update(std::vector<EntryHost> hosts, Base::TimePoint now);
    /// In the order of preference.
    const std::vector<EntryHost> &chosen() const { return m_chosen; }
    bool isChosen(const Base::HostId &host) const;

private:
    std::vector<EntryHost> m_chosen;
    double m_need = 0;
    Base::TimePoint m_updatedAt = Base::TimePoint::min();
};

} // namespace Routing
