#include "routing/dispatcher.h"

#include "base/hash.h"
#include "routing/fairlevel.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Routing {

namespace {

using std::chrono::milliseconds;

/// Assumed until the configuration tells the throughput of all servers: that of the slowest
/// engine seen, about fifty tokens in a millisecond.
constexpr double defaultReadTokensPerMs = 40;
/// Time that each running request adds to the first event of another: a step of the engine for
/// each chunk of the prompt, which grows with what runs.
constexpr double millisecondsPerRunning = 4;
/// Work of a plain application takes about this long, so a place in its queue costs this much.
constexpr double plainWorkMilliseconds = 30;
/// Another availability zone costs two ways of about half a millisecond, and its bytes are paid
/// for: weighed as a few milliseconds, so that it decides only among equals.
constexpr double otherZoneMilliseconds = 4;
/// What a certain failure costs a caller: the time in which it and the second attempt run.
constexpr double failureMilliseconds = 1200;
/// Prompt tokens, as time, that a server may have before it. One long prompt takes up to 0.3 s;
/// less would leave the server idle between the load reports of other hosts.
constexpr double fullMilliseconds = 350;
/// Part of an engine's slots that is used. Beyond it each more request slows all others.
constexpr double slotsUsed = 0.95;
/// A plain application is given this many times its slots: a queue of its own of about two
/// places each, so that it is not idle while an answer is on its way.
constexpr double plainSlotsUsed = 2.5;
/// Part of a server's memory that is believed to keep prompt parts.
constexpr double memoryForParts = 0.7;
/// Servers that a prompt beginning has by hashing. Two even out what one server for each would
/// load unevenly, and the loss of one loses no beginning.
constexpr std::size_t homeServers = 2;
/// Part of a beginning that its servers are believed to keep while this host has not sent it
/// there itself: other hosts have.
constexpr double keptByOthers = 0.9;
/// A beginning shorter than this is not worth a server of its own.
constexpr std::uint32_t leastSharedTokens = 1000;
/// Work may wait here until this part of its start target is used up; later it would start late
/// at a server as well, and the caller is better served by another host or a later time.
constexpr double waitShare = 0.5;
/// Requests that wait at this host. Each holds its body of some ten kilobytes.
constexpr std::size_t mostWaiting = 400;
/// A generated token costs an engine about as much as two read ones.
constexpr double generatedWeight = 2;
/// Room that is spare: reading ahead and running requests of a server that delays nobody's work.
constexpr double spareMilliseconds = 90;
constexpr double spareSlots = 0.6;
/// The share level is reckoned anew this often; reports of other hosts come as often.
constexpr Base::Duration shareInterval = milliseconds(100);
/// Tokens of a shared beginning that a server has to read although others keep it cost this many
/// times their time: they also push out what others need, and delay what runs there.
constexpr double rereadFactor = 2.5;
constexpr milliseconds leastRetryAfter{200};
constexpr milliseconds mostRetryAfter{2000};

double tokensOf(const Work &work)
{
    return 1 + work.promptTokens + generatedWeight * work.outputTokens;
}

/// Part of a prompt that other requests may share: all but its last part.
const ChainLink *sharedEnd(const std::vector<ChainLink> &chain)
{
    if (chain.size() < 2)
        return nullptr;
    const ChainLink *end = &chain[chain.size() - 2];
    return end->tokensSoFar < leastSharedTokens ? nullptr : end;
}

bool wasTried(const Work &work, const Base::ServerId &server)
{
    return std::find(work.tried.begin(), work.tried.end(), server) != work.tried.end();
}

} // namespace

Dispatcher::Dispatcher(const ServiceTraits &traits, const Base::ZoneId &ownZone)
    : m_traits(traits)
    , m_ownZone(ownZone)
{}

void Dispatcher::setTraits(const ServiceTraits &traits)
{
    m_traits = traits;
    if (m_traits.readTokensPerMs <= 0)
        m_traits.readTokensPerMs = defaultReadTokensPerMs;
}

void Dispatcher::setServers(const std::vector<RegisteredServer> &servers)
{
    std::map<Base::ServerId, ServerState> next;
    for (const RegisteredServer &server : servers) {
        const auto known = m_servers.find(server.id);
        if (known != m_servers.end())
            next[server.id] = std::move(known->second);
        next[server.id].server = server;
    }
    m_servers = std::move(next);
    updateCaches();
}

void Dispatcher::updateCaches()
{
    // Other hosts' work takes its part of each server's memory.
    const double hosts =
        m_others ? static_cast<double>(std::max<std::size_t>(m_others->hosts, 1)) : 1;
    const double kept = static_cast<double>(m_traits.memoryTokens) * memoryForParts / hosts;
    for (auto &[id, state] : m_servers)
        state.cache.setCapacity(static_cast<std::uint64_t>(kept));
}

Decisions Dispatcher::submit(Work work, Base::TimePoint now)
{
    Decisions decisions;
    if (work.tried.empty())
        m_asked.add(work.customer, tokensOf(work), now);
    if (m_servers.empty()) {
        decisions.turnedAway.push_back({work.id, TurnedAwayReason::NoServer, retryAfter()});
        return decisions;
    }
    const Room room = roomFor(work.customer, now);
    if (m_waiting.isEmpty() || room == Room::Spare) {
        if (const std::optional<Choice> choice = choose(work, now, room)) {
            place(std::move(work), *choice, now, decisions);
            return decisions;
        }
    }
    if (room == Room::Spare) {
        decisions.turnedAway.push_back({work.id, TurnedAwayReason::BeyondShare, retryAfter()});
        return decisions;
    }
    if (m_waiting.size() >= mostWaiting) {
        decisions.turnedAway.push_back({work.id, TurnedAwayReason::Crowded, retryAfter()});
        return decisions;
    }
    const Base::Duration mayWait =
        std::chrono::duration_cast<Base::Duration>((work.startBy - work.arrivedAt) * waitShare);
    if (now + waitBehind(work.customer) > work.arrivedAt + mayWait) {
        decisions.turnedAway.push_back({work.id, TurnedAwayReason::TooLate, retryAfter()});
        return decisions;
    }
    m_waiting.push(std::move(work));
    drain(now, decisions);
    return decisions;
}

void Dispatcher::withdraw(WorkId id)
{
    m_waiting.remove(id);
}

void Dispatcher::started(WorkId id, Base::TimePoint now)
{
    const auto it = m_placed.find(id);
    if (it == m_placed.end() || it->second.isStarted)
        return;
    Placed &placed = it->second;
    placed.isStarted = true;
    const auto server = m_servers.find(placed.server);
    if (server == m_servers.end())
        return;
    ServerState &state = server->second;
    state.own.unreadTokens -= std::min(state.own.unreadTokens, placed.unreadTokens);
    state.health.recordStart(now - placed.at, placed.expected, now);
}

Decisions Dispatcher::finished(WorkId id, AttemptOutcome outcome, Base::TimePoint now)
{
    Decisions decisions;
    const auto it = m_placed.find(id);
    if (it == m_placed.end())
        return decisions;
    const Placed placed = std::move(it->second);
    m_placed.erase(it);
    const auto server = m_servers.find(placed.server);
    if (server != m_servers.end()) {
        ServerState &state = server->second;
        state.own.running -= std::min(state.own.running, 1U);
        if (!placed.isStarted)
            state.own.unreadTokens -= std::min(state.own.unreadTokens, placed.unreadTokens);
        state.health.record(outcome, now);
        if (outcome == AttemptOutcome::Unreachable)
            state.cache.clear();
    }
    drain(now, decisions);
    return decisions;
}

Decisions Dispatcher::advance(Base::TimePoint now)
{
    Decisions decisions;
    updateCaches();
    drain(now, decisions);
    turnAwayLate(now, decisions);
    return decisions;
}

Base::Duration Dispatcher::expectedStart(WorkId id) const
{
    const auto it = m_placed.find(id);
    return it == m_placed.end() ? Base::Duration::zero() : it->second.expected;
}

void Dispatcher::report(HostLoad &load, Base::TimePoint now) const
{
    for (const auto &[id, state] : m_servers) {
        if (state.own.running > 0)
            load.servers[id] = state.own;
    }
    m_asked.addTo(load.asked, now);
    m_received.addTo(load.received, now);
}

std::optional<Dispatcher::Choice> Dispatcher::choose(const Work &work, Base::TimePoint now,
                                                     Room room)
{
    const std::vector<ChainLink> chain = chainOf(work.parts);
    const ChainLink *shared = sharedEnd(chain);
    std::vector<std::pair<std::uint64_t, ServerState *>> ranked;
    ranked.reserve(m_servers.size());
    for (auto &[id, state] : m_servers) {
        const std::uint64_t order = shared ? Base::stableHash(id.value(), shared->hash) : 0;
        ranked.emplace_back(order, &state);
    }
    if (shared)
        std::sort(ranked.begin(), ranked.end());
    std::optional<Choice> best;
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
        ServerState &state = *ranked[rank].second;
        if (!hasRoom(state, room, now))
            continue;
        const std::uint32_t kept = keptTokens(state, work, chain, rank);
        const std::uint32_t unread = work.promptTokens - std::min(kept, work.promptTokens);
        double cost = startMilliseconds(state, unread, now);
        if (shared && kept < shared->tokensSoFar)
            cost += (shared->tokensSoFar - kept) * rereadFactor / m_traits.readTokensPerMs;
        cost += state.health.failureShare(now) * failureMilliseconds;
        if (state.server.zone != m_ownZone)
            cost += otherZoneMilliseconds;
        if (wasTried(work, state.server.id))
            cost += 10 * failureMilliseconds;
        if (!best || cost < best->milliseconds)
            best = Choice{&state, cost, unread};
    }
    return best;
}

double Dispatcher::startMilliseconds(const ServerState &state, std::uint32_t unreadTokens,
                                     Base::TimePoint now) const
{
    const ServerLoad load = loadOf(state);
    const double slots = std::max(state.server.slots, 1U);
    if (!m_traits.isEngine) {
        const double places = (load.running + 1) / slots;
        return std::max(1.0, places) * plainWorkMilliseconds * state.health.slowness(now)
               + load.running;
    }
    const double tokens = static_cast<double>(load.unreadTokens) + unreadTokens;
    const double full = std::max(0.0, load.running + 1 - slots * slotsUsed);
    const double reading = tokens / m_traits.readTokensPerMs;
    const double sharing = load.running * millisecondsPerRunning;
    return (reading + sharing + full * plainWorkMilliseconds) * state.health.slowness(now);
}

std::uint32_t Dispatcher::keptTokens(const ServerState &state, const Work &work,
                                     const std::vector<ChainLink> &chain, std::size_t rank) const
{
    if (!m_traits.isEngine)
        return work.promptTokens;
    const std::uint32_t kept = state.cache.keptTokens(chain);
    const ChainLink *shared = sharedEnd(chain);
    if (!shared || rank >= homeServers)
        return kept;
    return std::max(kept, static_cast<std::uint32_t>(shared->tokensSoFar * keptByOthers));
}

ServerLoad Dispatcher::loadOf(const ServerState &state) const
{
    ServerLoad load = state.own;
    if (!m_others)
        return load;
    const auto others = m_others->servers.find(state.server.id);
    if (others == m_others->servers.end())
        return load;
    load.running += others->second.running;
    load.unreadTokens += others->second.unreadTokens;
    return load;
}

bool Dispatcher::hasRoom(const ServerState &state, Room room, Base::TimePoint now) const
{
    if (!state.health.isUsable(now))
        return false;
    const bool isOwed = room == Room::Owed;
    const ServerLoad load = loadOf(state);
    const double slots = std::max(state.server.slots, 1U);
    if (!m_traits.isEngine)
        return load.running < slots * plainSlotsUsed;
    if (load.running >= slots * (isOwed ? slotsUsed : spareSlots))
        return false;
    const double reading = load.unreadTokens / m_traits.readTokensPerMs;
    return reading * state.health.slowness(now) < (isOwed ? fullMilliseconds : spareMilliseconds);
}

void Dispatcher::place(Work work, const Choice &choice, Base::TimePoint now, Decisions &decisions)
{
    ServerState &state = *choice.state;
    Placed placed;
    placed.server = state.server.id;
    placed.unreadTokens = choice.unreadTokens;
    placed.at = now;
    const double expected = startMilliseconds(state, choice.unreadTokens, now);
    placed.expected = std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(expected));
    ++state.own.running;
    state.own.unreadTokens += choice.unreadTokens;
    if (m_traits.isEngine)
        state.cache.use(chainOf(work.parts));
    m_received.add(work.customer, tokensOf(work), now);
    decisions.placements.push_back({work.id, state.server.id});
    const WorkId id = work.id;
    placed.work = std::move(work);
    m_placed[id] = std::move(placed);
}

void Dispatcher::drain(Base::TimePoint now, Decisions &decisions)
{
    while (!m_waiting.isEmpty()) {
        const bool isRoom = std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &it) {
            return hasRoom(it.second, Room::Owed, now);
        });
        if (!isRoom)
            return;
        std::optional<Work> work = m_waiting.takeNext(
            [&](const Base::CustomerId &customer) { return received(customer, now); });
        if (!work)
            return;
        const std::optional<Choice> choice = choose(*work, now, roomFor(work->customer, now));
        if (!choice) {
            m_waiting.push(std::move(*work));
            return;
        }
        place(std::move(*work), *choice, now, decisions);
    }
}

void Dispatcher::turnAwayLate(Base::TimePoint now, Decisions &decisions)
{
    const std::vector<Work> late = m_waiting.takeIf([&](const Work &work) {
        return now - work.arrivedAt > (work.startBy - work.arrivedAt) * waitShare;
    });
    for (const Work &work : late)
        decisions.turnedAway.push_back({work.id, TurnedAwayReason::TooLate, retryAfter()});
}

Base::Duration Dispatcher::waitBehind(const Base::CustomerId &customer) const
{
    // Customers take turns, so what a customer waits for is its own work, as many times over as
    // there are customers that wait.
    const std::uint64_t own = m_waiting.tokensOf(customer);
    const std::size_t others = std::max<std::size_t>(m_waiting.customers(), 1);
    const double tokens = std::min(static_cast<double>(own) * static_cast<double>(others),
                                   static_cast<double>(m_waiting.tokens()));
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(tokens / drainTokensPerMs()));
}

double Dispatcher::drainTokensPerMs() const
{
    const double hosts =
        m_others ? static_cast<double>(std::max<std::size_t>(m_others->hosts, 1)) : 1;
    const double servers = static_cast<double>(std::max<std::size_t>(m_servers.size(), 1));
    return std::max(1.0, servers * m_traits.readTokensPerMs / hosts);
}

Base::Milliseconds Dispatcher::retryAfter() const
{
    const double ms = static_cast<double>(m_waiting.tokens()) / drainTokensPerMs();
    return std::clamp(milliseconds(static_cast<std::int64_t>(ms)), leastRetryAfter, mostRetryAfter);
}

double Dispatcher::received(const Base::CustomerId &customer, Base::TimePoint now) const
{
    const double own = m_received.value(customer, now);
    if (!m_others)
        return own;
    const auto others = m_others->received.find(customer);
    return others == m_others->received.end() ? own : own + others->second;
}

double Dispatcher::shareLevel(Base::TimePoint now)
{
    if (m_shareLevelAt != Base::TimePoint::min() && now - m_shareLevelAt < shareInterval)
        return m_shareLevel;
    m_shareLevelAt = now;
    std::map<Base::CustomerId, double> asked;
    if (m_others)
        asked = m_others->asked;
    m_asked.addTo(asked, now);
    m_shareLevel = fairLevel(asked, m_traits.sharedTokensPerSecond * FadingMeter::meanSeconds());
    return m_shareLevel;
}

Dispatcher::Room Dispatcher::roomFor(const Base::CustomerId &customer, Base::TimePoint now)
{
    if (!m_traits.isEngine || m_traits.sharedTokensPerSecond <= 0)
        return Room::Owed;
    return received(customer, now) < shareLevel(now) ? Room::Owed : Room::Spare;
}

} // namespace Routing
