#include "routing/rollouttraffic.h"

#include "base/hash.h"
#include "routing/rolloutdecision.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Routing {

namespace {

/// The part of the allowed exposure that the test uses. The rest is for the move, in which a
/// version that is bad under load only gets many requests within a second or two.
constexpr double testPart = 0.7;
/// The part of the allowed number beyond the share that all hosts together may use in the test.
constexpr double slackPart = 0.8;
/// The part of the test load that is spread evenly over the routes. The other part follows their
/// requests.
constexpr double evenPart = 0.65;
constexpr double maxTrialShare = 0.5;
/// The part of the time to stop a bad version for which a host goes on without news. The rest is
/// for finding the fault and for requests that are on their way.
constexpr double freshPart = 0.5;

double uniform(std::uint64_t draw)
{
    return static_cast<double>(draw)
           / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

const std::string &RolloutTraffic::newVersionOf(const Known &known)
{
    return known.order ? known.order->version : known.state->order.version;
}

void RolloutTraffic::setOrders(const std::vector<RolloutOrder> &orders)
{
    for (auto &[service, known] : m_known)
        known.order.reset();
    for (const RolloutOrder &it : orders) {
        Known &known = m_known[it.service];
        known.order = it;
        const bool isNew = known.evidence.orderRevision != it.revision;
        if (!isNew)
            continue;
        known.evidence = {};
        known.evidence.service = it.service;
        known.evidence.orderRevision = it.revision;
        known.requestsByRoute.clear();
    }
    std::erase_if(m_known, [](const auto &it) { return !it.second.order && !it.second.state; });
    updateTrialServers();
}

bool RolloutTraffic::setState(const RolloutState &state, Base::TimePoint confirmedAt,
                              Base::TimePoint now)
{
    Known &known = m_known[state.order.service];
    if (known.state && state.revision < known.state->revision)
        return false;
    if (known.state && state.revision == known.state->revision) {
        known.confirmedAt = std::max(known.confirmedAt, confirmedAt);
        return false;
    }
    known.state = state;
    known.confirmedAt = confirmedAt;
    known.phaseSeenAt = now;
    updateTrialServers();
    return true;
}

void RolloutTraffic::setServers(const std::map<Base::ServerId, RegisteredServer> &servers)
{
    m_servers.clear();
    for (const auto &[id, server] : servers)
        m_servers[server.service][server.softwareVersion].push_back(id);
    // Another order may name the same version again once all its servers are gone.
    std::erase_if(m_known, [&](const auto &it) {
        return !it.second.order && !m_servers[it.first].contains(newVersionOf(it.second));
    });
    updateTrialServers();
}

void RolloutTraffic::updateTrialServers()
{
    for (auto &[service, known] : m_known) {
        known.newServers.clear();
        known.trialServers.reset();
        const auto versions = m_servers.find(service);
        if (versions == m_servers.end())
            continue;
        const auto servers = versions->second.find(newVersionOf(known));
        if (servers == versions->second.end())
            continue;
        std::size_t others = 0;
        for (const auto &[version, ids] : versions->second)
            others += version == newVersionOf(known) ? 0 : ids.size();
        std::vector<Base::ServerId> ids = servers->second;
        const std::uint64_t seed = known.evidence.orderRevision;
        std::ranges::sort(
            ids, {}, [&](const Base::ServerId &it) { return Base::stableHash(it.value(), seed); });
        known.newServers = std::move(ids);
        known.testServers = static_cast<std::size_t>(
            std::ceil(testPart * m_bounds.exposureShare * static_cast<double>(others)));
    }
}

std::shared_ptr<const std::set<Base::ServerId>> RolloutTraffic::trialServers(const Known &known,
                                                                             double share)
{
    const std::vector<Base::ServerId> &servers = known.newServers;
    const double wanted = std::ceil(share * static_cast<double>(servers.size()));
    const std::size_t n =
        std::max({static_cast<std::size_t>(wanted), known.testServers, std::size_t{1}});
    if (n >= servers.size())
        return nullptr;
    if (!known.trialServers || known.trialServers->size() != n) {
        known.trialServers = std::make_shared<const std::set<Base::ServerId>>(
            servers.begin(), servers.begin() + static_cast<std::ptrdiff_t>(n));
    }
    return known.trialServers;
}

std::vector<RolloutState> RolloutTraffic::states() const
{
    std::vector<RolloutState> states;
    for (const auto &[service, known] : m_known) {
        if (known.state)
            states.push_back(*known.state);
    }
    return states;
}

std::optional<Base::TimePoint> RolloutTraffic::confirmedAt(const std::string &service) const
{
    const Known *it = known(service);
    return it && it->state ? std::optional(it->confirmedAt) : std::nullopt;
}

bool RolloutTraffic::isActive(const std::string &service) const
{
    const Known *it = known(service);
    return it && it->order
           && !(it->state && isFinal(it->state->phase)
                && it->state->order.revision == it->order->revision);
}

const RolloutTraffic::Known *RolloutTraffic::known(const std::string &service) const
{
    const auto it = m_known.find(service);
    return it == m_known.end() ? nullptr : &it->second;
}

RolloutTraffic::Known *RolloutTraffic::counted(const std::string &service)
{
    return isActive(service) ? &m_known[service] : nullptr;
}

bool RolloutTraffic::isFresh(const Known &known, Base::TimePoint now) const
{
    // A newer order has no state yet.
    if (!known.state || (known.order && known.state->order.revision != known.order->revision))
        return false;
    return known.confirmedAt != Base::TimePoint::min()
           && now - known.confirmedAt
                  < std::chrono::duration_cast<Base::Duration>(m_bounds.rollBack * freshPart);
}

bool RolloutTraffic::hasOtherVersion(const std::string &service, const std::string &version) const
{
    const auto versions = m_servers.find(service);
    return versions != m_servers.end()
           && std::ranges::any_of(versions->second,
                                  [&](const auto &it) { return it.first != version; });
}

double RolloutTraffic::trialShare(const Known &known, const std::string &route) const
{
    const RolloutEvidence &evidence = known.evidence;
    const double share = testPart * m_bounds.exposureShare;
    const double allowed = share * static_cast<double>(evidence.requests)
                           + slackPart * m_bounds.exposureSlack / static_cast<double>(m_hosts);
    if (static_cast<double>(evidence.exposed) + 1 > allowed)
        return 0;
    const auto ofRoute = known.requestsByRoute.find(route);
    const double requests =
        ofRoute == known.requestsByRoute.end() ? 1 : static_cast<double>(ofRoute->second);
    const double evenRequests =
        static_cast<double>(evidence.requests)
        / static_cast<double>(std::max<std::size_t>(known.requestsByRoute.size(), 1));
    return std::min(maxTrialShare, share * (1 - evenPart + evenPart * evenRequests / requests));
}

VersionRule RolloutTraffic::rule(const std::string &service, const std::string &route,
                                 std::uint64_t draw, Base::TimePoint now) const
{
    VersionRule rule;
    const Known *it = known(service);
    if (!it)
        return rule;
    const bool isDecided =
        it->state && (!it->order || it->state->order.revision == it->order->revision);
    if (isDecided && it->state->phase == RolloutPhase::Completed) {
        if (!it->order)
            return rule;
        const std::set<std::string> old(it->state->oldVersions.begin(),
                                        it->state->oldVersions.end());
        const auto versions = m_servers.find(service);
        const bool hasNew =
            versions != m_servers.end() && versions->second.contains(it->state->order.version);
        return hasNew ? VersionRule{old, std::nullopt} : rule;
    }
    const std::string &version = newVersionOf(*it);
    const bool isRolledBack = isDecided && it->state->phase == RolloutPhase::RolledBack;
    const bool isBad =
        isRolledBack && it->state->order.isUsable() && !it->state->oldVersions.empty();
    // A version that serves alone has nothing to be compared with.
    if (version.empty() || (!isBad && !hasOtherVersion(service, version)))
        return rule;
    rule.barred.insert(version);
    if (isRolledBack || !it->order || !isFresh(*it, now))
        return rule;
    const bool isMoving = it->state->phase == RolloutPhase::Moving;
    const double share = isMoving ? std::max(movedShare(it->state->order, now - it->phaseSeenAt),
                                             trialShare(*it, route))
                                  : trialShare(*it, route);
    if (uniform(draw) >= share)
        return rule;
    rule.trial = VersionTrial{version, trialServers(*it, isMoving ? share : 0)};
    return rule;
}

bool RolloutTraffic::mayContinue(const std::string &service, const std::string &version,
                                 Base::TimePoint now) const
{
    // A draw of zero is on trial whenever any request may be.
    const VersionRule rule = this->rule(service, {}, 0, now);
    return !rule.barred.contains(version) || (rule.trial && rule.trial->version == version);
}

void RolloutTraffic::recordSent(const std::string &service, const std::string &route,
                                const std::string &version)
{
    ++m_running[service][version];
    Known *const it = counted(service);
    if (!it)
        return;
    ++it->evidence.requests;
    ++it->requestsByRoute[route];
    if (version == newVersionOf(*it))
        ++it->evidence.exposed;
}

void RolloutTraffic::recordEnded(const std::string &service, const std::string &version)
{
    std::uint64_t &running = m_running[service][version];
    running -= std::min<std::uint64_t>(running, 1);
}

void RolloutTraffic::recordAnswer(const std::string &service, const std::string &route,
                                  const std::string &version, const AnswerSample &sample)
{
    if (Known *it = counted(service)) {
        RolloutEvidence::ByVersion &counts = it->evidence.routes[route];
        (version == newVersionOf(*it) ? counts.after : counts.before).add(sample);
    }
}

std::uint64_t RolloutTraffic::runningAtOldVersions(const RolloutState &state) const
{
    std::uint64_t sum = 0;
    const auto ofService = m_running.find(state.order.service);
    if (ofService == m_running.end())
        return sum;
    for (const auto &[version, running] : ofService->second)
        sum +=
            std::ranges::find(state.oldVersions, version) != state.oldVersions.end() ? running : 0;
    return sum;
}

std::vector<RolloutEvidence> RolloutTraffic::evidence() const
{
    std::vector<RolloutEvidence> all;
    for (const auto &[service, known] : m_known) {
        if (!isActive(service))
            continue;
        RolloutEvidence evidence = known.evidence;
        evidence.runningBefore = 0;
        const auto ofService = m_running.find(service);
        if (ofService != m_running.end()) {
            for (const auto &[version, running] : ofService->second)
                evidence.runningBefore += version == newVersionOf(known) ? 0 : running;
        }
        all.push_back(std::move(evidence));
    }
    return all;
}

} // namespace Routing
