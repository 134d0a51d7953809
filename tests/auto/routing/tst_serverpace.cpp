#include "routing/dispatcher.h"
#include "routing/serverpace.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};
constexpr Base::Duration updateInterval = milliseconds(100);

Base::ServerId serverId(std::size_t i)
{
    return Base::ServerId("s" + std::to_string(i));
}

/// Passes the same \a times to \a pace for \a span.
void pass(ServerPace &pace, const std::map<Base::ServerId, StartTimes> &times, Base::Duration span,
          Base::TimePoint &now)
{
    for (const Base::TimePoint end = now + span; now < end; now += updateInterval)
        pace.update(times, now);
}

/// Hosts that send requests to engines of unlike speed, and report to each other.
class UnlikeEngines
{
public:
    /// \a tellsMachineLoad switches the shared pace on.
    explicit UnlikeEngines(bool tellsMachineLoad)
        : m_loads(hosts)
    {
        std::vector<RegisteredServer> servers(engines);
        for (std::size_t i = 0; i < engines; ++i) {
            servers[i].id = serverId(i);
            servers[i].slots = 48;
            m_freeAt[servers[i].id] = start;
            m_msPerToken[servers[i].id] = (i % 3 == 2 ? 3.0 : 0.7) / tokensPerMs;
            ServerNotice notice;
            notice.tellsMachineLoad = tellsMachineLoad;
            m_notices.record(servers[i].id, notice, start);
        }
        const ServiceTraits traits{true, 500000, tokensPerMs, 1e9};
        for (std::size_t i = 0; i < hosts; ++i) {
            m_hosts.push_back(std::make_unique<Dispatcher>(traits, Base::ZoneId("z"),
                                                           Base::HostId("h" + std::to_string(i))));
            m_hosts[i]->setNotices(m_notices);
            m_hosts[i]->setServers(servers);
            m_hosts[i]->setPeerLoad(m_loads[i]);
        }
    }

    /// Returns the share of requests whose first event came later than their target, after some
    /// seconds in which the hosts learned.
    double lateShare()
    {
        constexpr Base::Duration tick = milliseconds(5);
        double late = 0;
        double all = 0;
        for (Base::TimePoint now = start; now < start + seconds(14); now += tick) {
            end(now);
            submit(now);
            if ((now - start) % milliseconds(25) == Base::Duration::zero()) {
                for (std::size_t i = 0; i < hosts; ++i)
                    take(i, m_hosts[i]->advance(now), now);
            }
            if ((now - start) % milliseconds(200) == Base::Duration::zero())
                report(now);
            for (const Base::Duration took : m_took) {
                if (now < start + seconds(5))
                    continue;
                all += 1;
                late += took > target ? 1 : 0;
            }
            m_took.clear();
        }
        return late / all;
    }

private:
    struct Running
    {
        std::size_t host = 0;
        WorkId id = 0;
    };

    static constexpr std::size_t hosts = 40;
    static constexpr std::size_t engines = 30;
    static constexpr double tokensPerMs = 40;
    static constexpr std::uint32_t promptTokens = 6000;
    static constexpr std::uint64_t beginnings = 61;
    static constexpr Base::Duration target = milliseconds(400);

    void submit(Base::TimePoint now)
    {
        // A request in ten milliseconds uses less than half of what the engines can read.
        if ((now - start) % milliseconds(10) == Base::Duration::zero()) {
            Work work;
            work.id = ++m_lastId;
            work.customer = Base::CustomerId("c" + std::to_string(work.id % 4));
            work.arrivedAt = now;
            work.startBy = now + target;
            work.deadline = now + seconds(8);
            work.promptTokens = promptTokens;
            work.outputTokens = 100;
            work.parts = {{work.id * 13 % beginnings, 4000}, {1000000 + work.id, 2000}};
            const std::size_t host = work.id * 7 % hosts;
            take(host, m_hosts[host]->submit(work, now), now);
        }
    }
    void take(std::size_t host, const Decisions &decisions, Base::TimePoint now)
    {
        for (const Placement &it : decisions.placements) {
            Base::TimePoint &free = m_freeAt[it.server];
            free = std::max(free, now)
                   + std::chrono::duration_cast<Base::Duration>(
                       std::chrono::duration<double, std::milli>(it.inputs.unreadTokens
                                                                 * m_msPerToken[it.server]));
            m_took.push_back(free - now);
            m_running.insert({free, {host, it.work}});
        }
    }
    void end(Base::TimePoint now)
    {
        while (!m_running.empty() && m_running.begin()->first <= now) {
            const Running ended = m_running.begin()->second;
            m_running.erase(m_running.begin());
            m_hosts[ended.host]->started(ended.id, now);
            take(ended.host, m_hosts[ended.host]->finished(ended.id, AttemptOutcome::Served, now),
                 now);
        }
    }
    /// Delivers the reports of 200 ms ago.
    void report(Base::TimePoint now)
    {
        std::vector<HostLoad> loads(hosts);
        for (std::size_t i = 0; i < hosts; ++i)
            m_hosts[i]->report(loads[i], now);
        std::swap(loads, m_reported);
        if (loads.empty())
            return;
        for (std::size_t i = 0; i < hosts; ++i) {
            m_loads[i] = PeerLoad();
            m_loads[i].hosts = hosts;
            for (std::size_t j = 0; j < hosts; ++j) {
                if (j == i)
                    continue;
                for (const auto &[server, load] : loads[j].servers) {
                    ServerLoad &sum = m_loads[i].servers[server];
                    sum.running += load.running;
                    sum.unreadTokens += load.unreadTokens;
                    sum.starts.took += load.starts.took;
                    sum.starts.expected += load.starts.expected;
                }
            }
            m_hosts[i]->peerLoadChanged();
        }
    }

    ServerNotices m_notices;
    std::vector<PeerLoad> m_loads;
    std::vector<HostLoad> m_reported;
    std::vector<std::unique_ptr<Dispatcher>> m_hosts;
    std::map<Base::ServerId, Base::TimePoint> m_freeAt;
    std::map<Base::ServerId, double> m_msPerToken;
    std::multimap<Base::TimePoint, Running> m_running;
    std::vector<Base::Duration> m_took;
    WorkId m_lastId = 0;
};

} // namespace

TEST_CASE("a pace tells how much longer a server takes than the others", "[routing]")
{
    rc::prop("whatever error all estimates share", [] {
        const double error = *rc::gen::inRange(40, 300) / 100.0;
        std::map<Base::ServerId, StartTimes> times;
        for (std::size_t i = 0; i < 30; ++i)
            times[serverId(i)] = {3000 * error * (i == 0 ? 1.8 : 1), 3000};
        ServerPace pace;
        Base::TimePoint now = start;
        pass(pace, times, seconds(10), now);
        RC_ASSERT(pace.pace(serverId(0)) > 1.4);
        RC_ASSERT(pace.pace(serverId(1)) > 0.9 && pace.pace(serverId(1)) < 1.1);
    });
}

TEST_CASE("a pace of which there is no news fades, and another start has none", "[routing]")
{
    // Guards against a host that is cut off and goes on to avoid a server for good.
    std::map<Base::ServerId, StartTimes> times;
    for (std::size_t i = 0; i < 10; ++i)
        times[serverId(i)] = {i == 0 ? 9000.0 : 3000.0, 3000};
    ServerPace pace;
    Base::TimePoint now = start;
    pass(pace, times, seconds(10), now);
    CHECK(pace.pace(serverId(0)) > 2);
    CHECK(pace.pace(Base::ServerId("s0@later")) == 1);
    pass(pace, {}, seconds(60), now);
    CHECK(pace.pace(serverId(0)) == 1);
}

TEST_CASE("a wrong figure of one server leaves the others usable", "[routing]")
{
    // Guards against a host whose figures of one server, hostile or broken, make all others look
    // fast or slow.
    rc::prop("any figures", [] {
        std::map<Base::ServerId, StartTimes> times;
        for (std::size_t i = 0; i < 60; ++i)
            times[serverId(i)] = {2000, 2000};
        const double wrong = *rc::gen::element(0.0, 1.0, 1e6, 1e18);
        times[serverId(0)] = {wrong, *rc::gen::element(0.0, 1.0, 1e6, 1e18)};
        ServerPace pace;
        Base::TimePoint now = start;
        pass(pace, times, seconds(10), now);
        RC_ASSERT(pace.pace(serverId(0)) >= 1.0 / 3 && pace.pace(serverId(0)) <= 4);
        RC_ASSERT(pace.pace(serverId(1)) >= 1.0 / 3 && pace.pace(serverId(1)) <= 1.5);
    });
}

TEST_CASE("hosts that each see few answers do not send to slow servers what fast ones can do in "
          "time",
          "[routing]")
{
    // Guards against a third of the servers that take four times as long and get as much as others.
    const double unknown = UnlikeEngines(false).lateShare();
    const double shared = UnlikeEngines(true).lateShare();
    INFO("late without a shared pace " << unknown << ", with it " << shared);
    CHECK(shared * 1.5 < unknown);
}
