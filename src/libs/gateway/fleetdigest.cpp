#include "gateway/fleetdigest.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace Gateway {

namespace {

/// Candidates of each zone, if it has as many hosts. Callers are told of two hosts of each zone, or
/// of eight hosts in all.
constexpr std::size_t minCandidatesOfZone = 12;
/// Ratio of the capacity of the candidates to the load. Callers are told of 3.5 times the load
/// (Routing::EntrySelection), and half of the candidates may be lost at once.
constexpr double candidateHeadroom = 8;
/// Hosts of a zone, in the order in which they lead it, that the hosts of this zone know. They
/// contain a live one with all but certainty if more than half of the hosts are lost at once.
constexpr std::size_t successorsOfOwnZone = 12;
/// The same for hosts of other zones, which need not report there.
constexpr std::size_t successorsOfOtherZone = 4;
/// Further hosts that are told because they forward requests.
constexpr std::size_t maxForwardingHosts = 64;

using MemberRefs = std::vector<const MemberState *>;

std::map<Base::ZoneId, MemberRefs> byZone(const Members &members)
{
    std::map<Base::ZoneId, MemberRefs> zones;
    for (const auto &[host, member] : members)
        zones[member.zone].push_back(&member);
    return zones;
}

bool isStronger(const MemberState *a, const MemberState *b)
{
    const auto order = [](const MemberState &it) {
        return std::tuple(it.isLeaving || !it.isServing, -static_cast<double>(it.capacity));
    };
    return std::tuple(order(*a), a->host) < std::tuple(order(*b), b->host);
}

} // namespace

std::set<Base::HostId> entryCandidates(const Members &members)
{
    std::map<Base::ZoneId, MemberRefs> zones = byZone(members);
    double load = 0;
    for (const auto &[host, member] : members)
        load += member.load;
    const double capacityOfZone =
        candidateHeadroom * load / static_cast<double>(std::max<std::size_t>(1, zones.size()));
    std::set<Base::HostId> candidates;
    for (auto &[zone, hosts] : zones) {
        std::ranges::sort(hosts, isStronger);
        double capacity = 0;
        std::size_t n = 0;
        for (const MemberState *it : hosts) {
            if (n >= minCandidatesOfZone && capacity >= capacityOfZone)
                break;
            candidates.insert(it->host);
            capacity += it->capacity;
            ++n;
        }
    }
    return candidates;
}

std::vector<MemberState> essentialMembers(const Members &members, const Base::ZoneId &zone)
{
    std::set<Base::HostId> chosen = entryCandidates(members);
    for (const auto &[ofZone, hosts] : byZone(members)) {
        // The hosts are in the order of their names.
        std::size_t left = ofZone == zone ? successorsOfOwnZone : successorsOfOtherZone;
        for (const MemberState *it : hosts) {
            if (it->isLeaving || it->isStoreLost)
                continue;
            if (left-- == 0)
                break;
            chosen.insert(it->host);
        }
    }
    MemberRefs forwarding;
    for (const auto &[host, member] : members) {
        if (member.load > 0 && !chosen.contains(host))
            forwarding.push_back(&member);
    }
    std::ranges::sort(forwarding, std::greater(), [](const MemberState *it) { return it->load; });
    forwarding.resize(std::min(forwarding.size(), maxForwardingHosts));
    for (const MemberState *it : forwarding)
        chosen.insert(it->host);
    std::vector<MemberState> essential;
    for (const Base::HostId &host : chosen)
        essential.push_back(members.at(host));
    return essential;
}

} // namespace Gateway
