#include "routing/dispatcher.h"
#include "routing/overloadgate.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};
constexpr Base::Duration tick = milliseconds(1);
constexpr Base::Duration target = milliseconds(300);
constexpr std::uint32_t slotsOfServer = 6;
constexpr std::size_t queueOfServer = 24;

/// The answers of a plain application after the first three seconds.
struct Outcome
{
    int onTime = 0;
    int late = 0;
    int refused = 0;

    double onTimeShare() const { return static_cast<double>(onTime) / (onTime + late + refused); }
    /// Counts a late answer as three tenths of one on time.
    double value() const { return (onTime + 0.3 * late) / (onTime + late + refused); }
};

struct Load
{
    std::size_t servers = 6;
    double requestsPerSecond = 362;
    double burst = 1;
    Base::Duration burstFrom{};
    Base::Duration burstTo{};
    /// The first server answers this many times as slowly.
    double slowness = 1;
};

/// Simulates hosts and the servers of a plain application. A request takes 60 ms in the mean. A
/// server sheds what its queue cannot hold. Hosts hear of each other's work a quarter of a second
/// late. Refused callers come back once.
class PlainPool
{
public:
    PlainPool(std::size_t hosts, const Load &load)
        : m_load(load)
        , m_servers(load.servers)
    {
        std::vector<RegisteredServer> registered;
        for (std::size_t i = 0; i < load.servers; ++i) {
            RegisteredServer server;
            server.id = Base::ServerId(std::to_string(i));
            server.slots = slotsOfServer;
            server.zone = Base::ZoneId(std::to_string(i % 4));
            registered.push_back(server);
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            Host &host = *m_hosts.emplace_back(std::make_unique<Host>());
            host.dispatcher =
                std::make_unique<Dispatcher>(ServiceTraits(), Base::ZoneId(std::to_string(i % 4)),
                                             Base::HostId("host-" + std::to_string(i)));
            host.dispatcher->setServers(registered);
            host.others.hosts = hosts;
            host.dispatcher->setPeerLoad(host.others);
        }
    }

    Outcome run(Base::Duration length)
    {
        for (m_now = start; m_now < start + length; m_now += tick) {
            arrive();
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const Event event = m_events.begin()->second;
                m_events.erase(m_events.begin());
                handle(event);
            }
            if ((m_now - start) % milliseconds(200) == Base::Duration::zero())
                exchangeReports();
            if ((m_now - start) % milliseconds(25) != Base::Duration::zero())
                continue;
            for (std::size_t i = 0; i < m_hosts.size(); ++i)
                apply(i, m_hosts[i]->dispatcher->advance(m_now));
        }
        return m_outcome;
    }

private:
    struct Host
    {
        std::unique_ptr<Dispatcher> dispatcher;
        PeerLoad others;
        HostLoad own;
    };
    struct Request
    {
        std::size_t host = 0;
        Base::TimePoint arrivedAt;
        bool isSecondTry = false;
        std::vector<Base::ServerId> tried;
    };
    struct Event
    {
        enum class Kind { Arrival, Answer, Reports } kind = Kind::Arrival;
        WorkId id = 0;
        std::size_t server = 0;
    };
    struct Server
    {
        std::size_t running = 0;
        std::deque<WorkId> queue;
    };

    void arrive()
    {
        const Base::Duration at = m_now - start;
        const bool isBurst = at >= m_load.burstFrom && at < m_load.burstTo;
        const double rate = m_load.requestsPerSecond * (isBurst ? m_load.burst : 1);
        std::poisson_distribution<int> count(rate * std::chrono::duration<double>(tick).count());
        for (int n = count(m_random); n > 0; --n)
            submit(++m_lastId, {m_random() % m_hosts.size(), m_now, false, {}});
    }
    void submit(WorkId id, const Request &request)
    {
        m_requests[id] = request;
        Work work;
        work.id = id;
        work.arrivedAt = request.arrivedAt;
        work.startBy = request.arrivedAt + target;
        work.deadline = request.arrivedAt + seconds(3);
        work.tried = request.tried;
        apply(request.host, m_hosts[request.host]->dispatcher->submit(std::move(work), m_now));
    }
    void apply(std::size_t host, const Decisions &decisions)
    {
        for (const Placement &it : decisions.placements) {
            const std::size_t number = std::stoul(it.server.value());
            Server &server = m_servers[number];
            Request &request = m_requests.at(it.work);
            request.tried.push_back(it.server);
            if (server.queue.size() < queueOfServer) {
                server.queue.push_back(it.work);
                startNext(number);
                continue;
            }
            apply(host,
                  m_hosts[host]->dispatcher->finished(it.work, AttemptOutcome::NoRoom, m_now));
            if (request.tried.size() < m_load.servers)
                submit(it.work, Request(request));
            else
                ++counted(request).refused;
        }
        for (const Rejection &it : decisions.rejected) {
            Request request = m_requests.at(it.work);
            if (request.isSecondTry) {
                ++counted(request).refused;
                continue;
            }
            request.isSecondTry = true;
            request.tried.clear();
            m_requests[++m_lastId] = request;
            m_events.insert({m_now + it.retryAfter, {Event::Kind::Arrival, m_lastId, 0}});
        }
    }
    void startNext(std::size_t number)
    {
        Server &server = m_servers[number];
        while (server.running < slotsOfServer && !server.queue.empty()) {
            const WorkId id = server.queue.front();
            server.queue.pop_front();
            ++server.running;
            const double ms = m_workMs(m_random) * (number == 0 ? m_load.slowness : 1);
            const auto took = std::chrono::duration_cast<Base::Duration>(
                std::chrono::duration<double, std::milli>(ms));
            m_events.insert({m_now + took, {Event::Kind::Answer, id, number}});
        }
    }
    void handle(const Event &event)
    {
        if (event.kind == Event::Kind::Reports) {
            deliverReports();
            return;
        }
        const Request request = m_requests.at(event.id);
        if (event.kind == Event::Kind::Arrival) {
            submit(event.id, request);
            return;
        }
        --m_servers[event.server].running;
        startNext(event.server);
        const bool isOnTime = m_now - request.arrivedAt <= target;
        ++(isOnTime ? counted(request).onTime : counted(request).late);
        Dispatcher &dispatcher = *m_hosts[request.host]->dispatcher;
        apply(request.host, dispatcher.finished(event.id, AttemptOutcome::Served, m_now));
    }
    Outcome &counted(const Request &request)
    {
        return request.arrivedAt - start >= seconds(3) ? m_outcome : m_ignored;
    }
    void exchangeReports()
    {
        for (const auto &host : m_hosts) {
            host->own = {};
            host->dispatcher->report(host->own, m_now);
            if (const auto use = host->dispatcher->use(m_now))
                host->own.serviceUses["app"] = *use;
        }
        m_events.insert({m_now + milliseconds(190), {Event::Kind::Reports, 0, 0}});
    }
    void deliverReports()
    {
        std::map<Base::ServerId, std::uint32_t> running;
        ServiceUse all;
        for (const auto &host : m_hosts) {
            for (const auto &[id, load] : host->own.servers)
                running[id] += load.running;
            all.arrivals += host->own.serviceUses["app"].arrivals;
            all.answers += host->own.serviceUses["app"].answers;
        }
        for (const auto &host : m_hosts) {
            for (const auto &[id, n] : running)
                host->others.servers[id].running = n - host->own.servers[id].running;
            const ServiceUse &own = host->own.serviceUses["app"];
            host->dispatcher->setPeerUse({all.arrivals - own.arrivals, all.answers - own.answers});
            host->dispatcher->peerLoadChanged();
        }
    }

    Load m_load;
    std::mt19937_64 m_random{11}; // NOLINT(cert-msc51-cpp)
    std::lognormal_distribution<double> m_workMs{3.97, 0.5};
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<Server> m_servers;
    std::map<WorkId, Request> m_requests;
    std::multimap<Base::TimePoint, Event> m_events;
    Base::TimePoint m_now = start;
    WorkId m_lastId = 0;
    Outcome m_outcome;
    Outcome m_ignored;
};

Outcome play(const Load &load)
{
    return PlainPool(60, load).run(seconds(12));
}

} // namespace

TEST_CASE("dozens of hosts spread their requests over the servers of a plain application",
          "[routing]")
{
    // Guards against hosts that all choose the server with the least work as of the last reports:
    // its queue fills while others are idle, and one answer in ten is late on a quiet day.
    CHECK(play({}).onTimeShare() > 0.97);
}

TEST_CASE("a plain application that has just enough servers answers on time", "[routing]")
{
    // Two of six servers are lost. Guards against queues that stay full, so that two answers of
    // three are late or refused although the servers can do all of the work.
    Load load;
    load.servers = 4;
    CHECK(play(load).onTimeShare() > 0.8);
}

TEST_CASE("a burst beyond what a plain application can do is partly refused, not all late",
          "[routing]")
{
    Load burst;
    burst.burst = 1.7;
    burst.burstFrom = seconds(4);
    burst.burstTo = seconds(8);
    CHECK(play(burst).value() > 0.85);
    Load lasting;
    lasting.servers = 4;
    lasting.requestsPerSecond = 480;
    CHECK(play(lasting).value() > 0.5);
}

TEST_CASE("a slow server of a plain application delays few requests", "[routing]")
{
    Load load;
    load.slowness = 6;
    CHECK(play(load).onTimeShare() > 0.88);
}

TEST_CASE("an application whose throughput is not known yet gets all requests", "[routing]")
{
    OverloadGate gate;
    for (int i = 0; i < 500; ++i) {
        const Base::TimePoint now = start + milliseconds(i);
        gate.recordArrival(now);
        CHECK(gate.admit(now));
    }
}
