#include "routing/entryselection.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

namespace Routing {

namespace {

/// The minimum number of listed hosts, if there are as many. The loss of one then affects at most
/// an eighth of the callers.
constexpr std::size_t minEntries = 8;
/// The number of hosts of each availability zone that are listed before any stronger host of
/// another zone.
constexpr std::size_t minPerZone = 2;
/// The ratio of the capacity of the listed hosts to the load. If half of them are lost in a burst
/// of 1.7 times the load, the remaining ones still have enough capacity.
constexpr double headroom = 3.5;
/// The time in which the required capacity halves when the load falls. Callers keep a list for some
/// seconds.
constexpr Base::Duration requirementHalfLife = std::chrono::seconds(8);

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
        const bool isFirstA = a.rankInZone < minPerZone;
        const bool isFirstB = b.rankInZone < minPerZone;
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
        const double halfLives = static_cast<double>((now - m_updatedAt).count())
                                 / static_cast<double>(requirementHalfLife.count());
        m_requiredCapacity *= std::exp2(-halfLives);
    }
    m_updatedAt = now;
    m_requiredCapacity = std::max(m_requiredCapacity, load * headroom);
    m_chosen.clear();
    double capacity = 0;
    for (Ranked &it : ranked(std::move(hosts))) {
        const bool isGuaranteed = m_chosen.size() < minEntries || it.rankInZone < minPerZone;
        if (!isGuaranteed && capacity >= m_requiredCapacity)
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
