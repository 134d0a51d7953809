#include "routing/entryselection.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

namespace Routing {

namespace {

/// Hosts that are always named, if there are as many: the loss of one touches an eighth of the
/// callers at most.
constexpr std::size_t leastEntries = 8;
/// Hosts of each availability zone that are named before any stronger one of another zone.
constexpr std::size_t leastOfZone = 2;
/// Capacity of the named hosts over the load: a burst of 1.7 times the load while half of them
/// are lost still leaves them below their capacity.
constexpr double headroom = 3.5;
/// The need halves in this time when the load falls. Callers keep a list for some seconds.
constexpr Base::Duration needHalfLife = std::chrono::seconds(8);

struct Ranked
{
    EntryHost host;
    std::size_t rankInZone = 0;
};

bool isStronger(const EntryHost &a, const EntryHost &b)
{
    return std::tie(b.capacity, a.host) < std::tie(a.capacity, b.host);
}

std::vector<Ranked> ranked(std::vector<EntryHost> hosts)
{
    std::sort(hosts.begin(), hosts.end(), isStronger);
    std::map<Base::ZoneId, std::size_t> seen;
    std::vector<Ranked> result;
    result.reserve(hosts.size());
    for (EntryHost &host : hosts) {
        const std::size_t rank = seen[host.zone]++;
        result.push_back({std::move(host), rank});
    }
    std::stable_sort(result.begin(), result.end(), [](const Ranked &a, const Ranked &b) {
        const bool isFirstA = a.rankInZone < leastOfZone;
        const bool isFirstB = b.rankInZone < leastOfZone;
        if (isFirstA != isFirstB)
            return isFirstA;
        if (a.host.capacity != b.host.capacity)
            return a.host.capacity > b.host.capacity;
        return std::tie(a.rankInZone, a.host.zone) < std::tie(b.rankInZone, b.host.zone);
    });
    return result;
}

} // namespace

void EntrySelection::update(std::vector<EntryHost> hosts, Base::TimePoint now)
{
    double load = 0;
    for (const EntryHost &host : hosts)
        load += host.load;
    if (m_updatedAt != Base::TimePoint::min()) {
        const double halves = static_cast<double>((now - m_updatedAt).count())
                              / static_cast<double>(needHalfLife.count());
        m_need *= std::exp2(-halves);
    }
    m_updatedAt = now;
    m_need = std::max(m_need, load * headroom);
    m_chosen.clear();
    double capacity = 0;
    for (Ranked &it : ranked(std::move(hosts))) {
        const bool isNeeded = m_chosen.size() < leastEntries || it.rankInZone < leastOfZone;
        if (!isNeeded && capacity >= m_need)
            break;
        capacity += it.host.capacity;
        m_chosen.push_back(std::move(it.host));
    }
}

bool EntrySelection::isChosen(const Base::HostId &host) const
{
    return std::any_of(m_chosen.begin(), m_chosen.end(),
                       [&](const EntryHost &it) { return it.host == host; });
}

} // namespace Routing
