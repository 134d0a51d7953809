#include "routing/dispatcher.h"
#include "routing/warmuplimiter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <deque>
#include <map>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};
constexpr double warmUpRate = 8.8;
/// What a server that warms up bears in any second: half as much again as its rate, and a few.
constexpr double mostPerSecond = warmUpRate * 1.5 + 5;

WarmUp warmUp()
{
    return {milliseconds(3000), warmUpRate};
}

/// Counts the requests that reach a server within any second.
class SecondCounter
{
public:
    void add(Base::TimePoint at)
    {
        m_times.push_back(at);
        while (at - m_times.front() >= seconds(1))
            m_times.pop_front();
        m_most = std::max(m_most, m_times.size());
        ++m_all;
    }
    std::size_t most() const { return m_most; }
    std::size_t all() const { return m_all; }

private:
    std::deque<Base::TimePoint> m_times;
    std::size_t m_most = 0;
    std::size_t m_all = 0;
};

Base::HostId hostId(std::size_t number)
{
    return Base::HostId("host-" + std::to_string(number));
}

} // namespace

TEST_CASE("all hosts together stay within the rate of a server that warms up", "[routing]")
{
    // Guards against a cold server that crashes: every host sees an idle server and sends what it
    // may. The hosts do not agree on how many there are, some are suspended for a while, and some
    // restart and forget what they have sent.
    rc::prop("hosts that always want to send", [] {
        const auto count = *rc::gen::inRange<std::size_t>(4, 200);
        const Base::ServerId server("s" + std::to_string(*rc::gen::inRange(0, 1000000)));
        std::vector<WarmUpLimiter> hosts;
        for (std::size_t i = 0; i < count; ++i) {
            hosts.emplace_back(hostId(i));
            hosts.back().setWarmUp(warmUp());
            const bool knowsHalf = *rc::gen::inRange(0, 4) == 0;
            hosts.back().setHosts(knowsHalf ? count / 2 : count);
        }
        std::vector<Base::TimePoint> lastSent(count);
        SecondCounter counter;
        for (int ms = 0; ms < 4000; ms += 20) {
            const Base::TimePoint now = start + milliseconds(ms);
            for (std::size_t i = 0; i < count; ++i) {
                const bool isSuspended = i % 7 == 0 && ms >= 1000 && ms < 2500;
                if (i % 5 == 0 && ms == 1500)
                    lastSent[i] = {};
                if (isSuspended || !hosts[i].isAllowed(server, lastSent[i], now))
                    continue;
                lastSent[i] = now;
                counter.add(now);
            }
        }
        RC_ASSERT(static_cast<double>(counter.most()) <= mostPerSecond);
    });
}

TEST_CASE("a server that warms up gets a part of its rate", "[routing]")
{
    // Guards against a limit that wastes the server: an even part for each of 83 hosts is less than
    // one request in ten seconds.
    constexpr std::size_t count = 83;
    std::size_t all = 0;
    constexpr int servers = 50;
    for (int i = 0; i < servers; ++i) {
        const Base::ServerId server("s" + std::to_string(i));
        for (std::size_t j = 0; j < count; ++j) {
            WarmUpLimiter limiter(hostId(j));
            limiter.setWarmUp(warmUp());
            limiter.setHosts(count);
            Base::TimePoint lastSent;
            for (int ms = 0; ms < 3000; ms += 20) {
                const Base::TimePoint now = start + milliseconds(ms);
                if (!limiter.isAllowed(server, lastSent, now))
                    continue;
                lastSent = now;
                ++all;
            }
        }
    }
    const double perSecond = static_cast<double>(all) / servers / 3;
    CHECK(perSecond > 0.25 * warmUpRate);
    CHECK(perSecond < 0.5 * warmUpRate);
}

namespace {

constexpr std::size_t serversPerZone = 6;

std::vector<RegisteredServer> serversOfTwoZones()
{
    std::vector<RegisteredServer> all;
    for (std::size_t i = 0; i < 2 * serversPerZone; ++i) {
        RegisteredServer server;
        server.id = Base::ServerId("s" + std::to_string(i));
        server.slots = 64;
        server.zone = Base::ZoneId(i < serversPerZone ? "east" : "west");
        all.push_back(server);
    }
    return all;
}

Work shortPrompt(WorkId id, Base::TimePoint now)
{
    Work work;
    work.id = id;
    work.customer = Base::CustomerId("c");
    work.arrivedAt = now;
    work.startBy = now + milliseconds(1500);
    work.deadline = now + seconds(8);
    work.promptTokens = 1100;
    work.outputTokens = 100;
    work.parts = {{id * 7919, 1100}};
    return work;
}

/// Hosts that know the work of all others as of the last fifth of a second.
class HostsOfPool
{
public:
    explicit HostsOfPool(std::size_t count)
    {
        ServiceTraits traits{true, 500000, 40, 0};
        traits.warmUp = warmUp();
        for (std::size_t i = 0; i < count; ++i) {
            m_hosts.push_back(
                std::make_unique<Host>(Dispatcher(traits, Base::ZoneId("east"), hostId(i))));
            m_hosts.back()->dispatcher.setServers(serversOfTwoZones());
            m_hosts.back()->others.hosts = count;
            m_hosts.back()->others.possibleHosts = count;
            m_hosts.back()->dispatcher.setPeerLoad(m_hosts.back()->others);
        }
    }
    void setEvacuated(const std::set<Base::ZoneId> &zones, Base::TimePoint now)
    {
        for (const auto &it : m_hosts)
            it->dispatcher.setEvacuatedZones(zones, now);
    }
    void setWarmUntil(Base::TimePoint until)
    {
        for (const auto &it : m_hosts) {
            for (const RegisteredServer &server : serversOfTwoZones()) {
                if (server.zone == Base::ZoneId("west"))
                    it->dispatcher.setWarmUntil(server.id, until);
            }
        }
    }
    /// Lets each host get a request every 40 ms for \a span; each runs for 300 ms.
    void run(Base::TimePoint from, Base::Duration span)
    {
        for (Base::TimePoint now = from; now < from + span; now += milliseconds(10)) {
            if ((now - start) % milliseconds(200) == Base::Duration::zero())
                exchangeReports(now);
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                Host &host = *m_hosts[i];
                finishOld(host, now);
                if (((now - start) / milliseconds(10) + static_cast<long>(i)) % 4 == 0)
                    take(host, host.dispatcher.submit(shortPrompt(++m_lastId, now), now), now);
                if ((now - start) % milliseconds(50) == Base::Duration::zero())
                    take(host, host.dispatcher.advance(now), now);
            }
        }
    }
    std::map<Base::ServerId, SecondCounter> counters;

private:
    struct Host
    {
        explicit Host(Dispatcher &&it)
            : dispatcher(std::move(it))
        {}
        Dispatcher dispatcher;
        PeerLoad others;
        HostLoad own;
        std::deque<std::pair<Base::TimePoint, WorkId>> open;
    };

    void take(Host &host, const Decisions &decisions, Base::TimePoint now)
    {
        for (const Placement &it : decisions.placements) {
            counters[it.server].add(now);
            host.open.emplace_back(now, it.work);
        }
    }
    void finishOld(Host &host, Base::TimePoint now)
    {
        while (!host.open.empty() && now - host.open.front().first >= milliseconds(300)) {
            const WorkId id = host.open.front().second;
            host.open.pop_front();
            host.dispatcher.started(id, now);
            take(host, host.dispatcher.finished(id, AttemptOutcome::Served, now), now);
        }
    }
    void exchangeReports(Base::TimePoint now)
    {
        std::map<Base::ServerId, ServerLoad> all;
        for (const auto &it : m_hosts) {
            it->own = {};
            it->dispatcher.report(it->own, now);
            for (const auto &[id, load] : it->own.servers) {
                all[id].running += load.running;
                all[id].unreadTokens += load.unreadTokens;
            }
        }
        for (const auto &it : m_hosts) {
            it->others.servers = all;
            for (const auto &[id, load] : it->own.servers) {
                it->others.servers[id].running -= load.running;
                it->others.servers[id].unreadTokens -= load.unreadTokens;
            }
            it->dispatcher.peerLoadChanged();
        }
    }

    std::vector<std::unique_ptr<Host>> m_hosts;
    WorkId m_lastId = 0;
};

std::size_t mostInWest(const HostsOfPool &hosts)
{
    std::size_t most = 0;
    for (const RegisteredServer &server : serversOfTwoZones()) {
        const auto it = hosts.counters.find(server.id);
        if (server.zone == Base::ZoneId("west") && it != hosts.counters.end())
            most = std::max(most, it->second.most());
    }
    return most;
}

} // namespace

TEST_CASE("an evacuated zone gets no request, and its servers get few when it is restored",
          "[routing]")
{
    // The operator evacuates a zone and takes that back when its servers are idle and cold. Guards
    // against hosts that all choose these servers at once, which then crash.
    HostsOfPool hosts(24);
    hosts.setEvacuated({Base::ZoneId("west")}, start);
    hosts.run(start, seconds(2));
    CHECK(mostInWest(hosts) == 0);
    hosts.setEvacuated({}, start + seconds(2));
    hosts.run(start + seconds(2), seconds(3));
    CHECK(mostInWest(hosts) > 0);
    CHECK(static_cast<double>(mostInWest(hosts)) <= mostPerSecond);
    // Once warm, they take their part again.
    hosts.run(start + seconds(8), seconds(2));
    CHECK(static_cast<double>(mostInWest(hosts)) > mostPerSecond);
}

TEST_CASE("servers that register as cold get few requests from all hosts together", "[routing]")
{
    HostsOfPool hosts(24);
    hosts.setWarmUntil(start + seconds(3));
    hosts.run(start, seconds(3));
    CHECK(mostInWest(hosts) > 0);
    CHECK(static_cast<double>(mostInWest(hosts)) <= mostPerSecond);
}

TEST_CASE("a server that could not be reached is presumed to start again", "[routing]")
{
    // Guards against hosts that all return to a server at the same moment, before its entry shows
    // that it has restarted and is cold.
    ServiceTraits traits{true, 500000, 40, 0};
    traits.warmUp = warmUp();
    Dispatcher dispatcher(traits, Base::ZoneId("east"), hostId(1));
    PeerLoad others;
    others.possibleHosts = 83;
    dispatcher.setServers({serversOfTwoZones().front()});
    dispatcher.setPeerLoad(others);
    REQUIRE(dispatcher.submit(shortPrompt(1, start), start).placements.size() == 1);
    dispatcher.finished(1, AttemptOutcome::Unreachable, start);
    int placed = 0;
    for (WorkId id = 2; id < 202; ++id) {
        const Base::TimePoint now = start + seconds(1) + milliseconds(10) * id;
        placed += static_cast<int>(dispatcher.submit(shortPrompt(id, now), now).placements.size());
    }
    CHECK(placed <= 2);
}

TEST_CASE("a request is refused at once if all servers are in evacuated zones", "[routing]")
{
    Dispatcher dispatcher({true, 500000, 40, 0}, Base::ZoneId("east"));
    dispatcher.setServers(serversOfTwoZones());
    dispatcher.setEvacuatedZones({Base::ZoneId("east"), Base::ZoneId("west")}, start);
    const Decisions decisions = dispatcher.submit(shortPrompt(1, start), start);
    REQUIRE(decisions.rejected.size() == 1);
    CHECK(decisions.rejected.front().reason == RejectionReason::NoServer);
}
