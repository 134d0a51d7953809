#include "routing/dispatcher.h"
#include "routing/fairwaitqueue.h"
#include "routing/maxminlevel.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <memory>
#include <numeric>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

Work work(WorkId id, const std::string &customer, Base::TimePoint now)
{
    Work it;
    it.id = id;
    it.customer = Base::CustomerId(customer);
    it.arrivedAt = now;
    it.startBy = now + milliseconds(1000);
    it.deadline = now + seconds(8);
    it.promptTokens = 4000;
    it.outputTokens = 400;
    return it;
}

/// Simulates hosts and a few engines, including the reports between hosts. Engines read a fixed
/// number of tokens in a millisecond, one request after the other.
class Fleet
{
public:
    Fleet(std::size_t hosts, std::size_t engines)
        : m_others(hosts)
    {
        ServiceTraits traits{true, 500000, tokensPerMs, capacity(engines)};
        for (std::size_t i = 0; i < engines; ++i) {
            RegisteredServer server;
            server.id = Base::ServerId("s" + std::to_string(i));
            server.slots = 64;
            m_servers.push_back(server);
            m_free[server.id] = start;
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            m_hosts.push_back(std::make_unique<Dispatcher>(traits, Base::ZoneId("z")));
            m_hosts.back()->setTraits(traits);
            m_hosts.back()->setServers(m_servers);
            m_hosts.back()->setPeerLoad(m_others[i]);
        }
    }

    static double capacity(std::size_t engines)
    {
        return static_cast<double>(engines) * tokensPerMs * 1000 * 0.6;
    }

    void submit(std::size_t host, const std::string &customer, Base::TimePoint now)
    {
        const WorkId id = ++m_lastId;
        m_customers[id] = customer;
        take(host, m_hosts[host]->submit(work(id, customer, now), now), now);
    }

    void advance(Base::TimePoint now)
    {
        for (auto it = m_running.begin(); it != m_running.end();) {
            if (it->endsAt > now) {
                ++it;
                continue;
            }
            const Running ended = *it;
            it = m_running.erase(it);
            m_hosts[ended.host]->started(ended.id, now);
            take(ended.host, m_hosts[ended.host]->finished(ended.id, AttemptOutcome::Served, now),
                 now);
        }
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            take(i, m_hosts[i]->advance(now), now);
        if (now - m_reportedAt >= milliseconds(200))
            report(now);
    }

    double served(const std::string &customer) const
    {
        const auto it = m_served.find(customer);
        return it == m_served.end() ? 0 : it->second;
    }
    /// Returns the mean time from a request's arrival at a server until the server has read its
    /// prompt.
    Base::Duration readAfter(const std::string &customer) const
    {
        return m_waited.at(customer) / static_cast<int>(served(customer));
    }
    double servedInAll() const
    {
        return std::accumulate(m_served.begin(), m_served.end(), 0.0,
                               [](double sum, const auto &it) { return sum + it.second; });
    }

private:
    struct Running
    {
        std::size_t host = 0;
        WorkId id = 0;
        Base::TimePoint endsAt;
    };

    static constexpr double tokensPerMs = 40;

    void take(std::size_t host, const Decisions &decisions, Base::TimePoint now)
    {
        for (const Placement &it : decisions.placements) {
            Base::TimePoint &free = m_free[it.server];
            free = std::max(free, now) + milliseconds(static_cast<int>(4000 / tokensPerMs));
            m_running.push_back({host, it.work, free});
            const std::string &customer = m_customers[it.work];
            ++m_served[customer];
            m_waited[customer] += free - now;
        }
    }

    void report(Base::TimePoint now)
    {
        m_reportedAt = now;
        std::vector<HostLoad> loads(m_hosts.size());
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            m_hosts[i]->report(loads[i], now);
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            PeerLoad sum;
            sum.hosts = m_hosts.size();
            for (std::size_t j = 0; j < m_hosts.size(); ++j) {
                if (j == i)
                    continue;
                for (const auto &[server, load] : loads[j].servers) {
                    sum.servers[server].running += load.running;
                    sum.servers[server].unreadTokens += load.unreadTokens;
                }
                for (const auto &[customer, amount] : loads[j].asked)
                    sum.asked[customer] += amount;
                for (const auto &[customer, amount] : loads[j].received)
                    sum.received[customer] += amount;
                for (const auto &[customer, amount] : loads[j].begun)
                    sum.begun[customer] += amount;
            }
            m_others[i] = sum;
            m_hosts[i]->peerLoadChanged();
        }
    }

    std::vector<PeerLoad> m_others;
    std::vector<RegisteredServer> m_servers;
    std::vector<std::unique_ptr<Dispatcher>> m_hosts;
    std::map<Base::ServerId, Base::TimePoint> m_free;
    std::vector<Running> m_running;
    std::map<WorkId, std::string> m_customers;
    std::map<std::string, double> m_served;
    std::map<std::string, Base::Duration> m_waited;
    Base::TimePoint m_reportedAt = start;
    WorkId m_lastId = 0;
};

} // namespace

TEST_CASE("the max-min level divides a capacity evenly among customers who ask for more",
          "[routing]")
{
    rc::prop("nobody gets more than it asks for, and no requested capacity is left unused", [] {
        const auto amounts = *rc::gen::container<std::vector<double>>(
            12, rc::gen::map(rc::gen::inRange(0, 1000), [](int n) { return double(n); }));
        std::map<Base::CustomerId, double> asked;
        for (std::size_t i = 0; i < amounts.size(); ++i)
            asked[Base::CustomerId(std::to_string(i))] = amounts[i];
        const double capacity = *rc::gen::inRange(1, 8000);
        const double level = maxMinLevel(asked, capacity);
        double given = 0;
        double sum = 0;
        for (const auto &[customer, amount] : asked) {
            given += std::min(amount, level);
            sum += amount;
        }
        RC_ASSERT(std::abs(given - std::min(sum, capacity)) < 1e-6);
    });
}

TEST_CASE("a customer at one host gets as much as one at all hosts", "[routing]")
{
    // Two customers each ask for far more than the pool has. The callers of one are connected to
    // one host, those of the other to all eight. Guards against hosts that each give away the spare
    // capacity they see on their own: the second customer, with eight attempts at it, would get six
    // times as much.
    Fleet fleet(8, 9);
    for (int ms = 0; ms < 20000; ms += 5) {
        const Base::TimePoint now = start + milliseconds(ms);
        fleet.submit(0, "at one host", now);
        fleet.submit(static_cast<std::size_t>(ms / 5) % 8, "at all hosts", now);
        if (ms % 200 == 0)
            fleet.submit(3, "asks for little", now);
        fleet.advance(now);
    }
    CHECK(fleet.served("at one host") > 0.7 * fleet.served("at all hosts"));
    CHECK(fleet.served("at all hosts") > 0.7 * fleet.served("at one host"));
    CHECK(fleet.served("asks for little") >= 98);
}

TEST_CASE("the first customer does not take the share of two seconds at once", "[routing]")
{
    // One customer's thirty requests arrive a tenth of a second before those of the others, for
    // example when all callers return after an outage. Guards against comparing what it received
    // with the share of two seconds although the load has lasted for a tenth of a second. Its
    // requests would fill each server's reading queue, and the others would start late for two
    // seconds.
    const ServiceTraits traits{true, 500000, 40, 24000};
    Dispatcher dispatcher(traits, Base::ZoneId("z"));
    RegisteredServer server;
    server.id = Base::ServerId("s");
    server.slots = 64;
    dispatcher.setServers({server});
    Base::TimePoint now = start;
    std::size_t placed = 0;
    for (WorkId id = 1; id <= 30; ++id) {
        now += milliseconds(3);
        placed += dispatcher.submit(work(id, "first", now), now).placements.size();
    }
    // One request takes a tenth of a second of the server's reading.
    CHECK(placed <= 2);
    CHECK(dispatcher.submit(work(31, "second", now), now).placements.size() == 1);
}

TEST_CASE("others get no spare capacity beside a customer whose host is behind", "[routing]")
{
    // Two customers ask for far more than their share. The callers of one stay with a small host
    // that sends its requests to servers but processes their answers seconds later. Guards against
    // counting sent requests as received, with which this customer gets a third of what the other
    // one gets.
    const ServiceTraits traits{true, 500000, 40, 24000};
    Dispatcher dispatcher(traits, Base::ZoneId("z"));
    std::vector<RegisteredServer> servers(4);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].id = Base::ServerId("s" + std::to_string(i));
        servers[i].slots = 64;
    }
    dispatcher.setServers(servers);
    PeerLoad others;
    const Base::CustomerId slow("slow");
    others.asked[slow] = 600000;
    others.received[slow] = 120000;
    others.begun[slow] = 120000;
    dispatcher.setPeerLoad(others);
    // The other customer uses this host. It has its share of the two seconds, and the servers have
    // capacity.
    Base::TimePoint now = start;
    WorkId id = 0;
    const auto serve = [&](int requests) {
        std::size_t served = 0;
        for (int i = 0; i < requests; ++i) {
            now += milliseconds(20);
            // Two reports of a load that goes on are never the same.
            others.asked[slow] += 1;
            const Decisions decisions = dispatcher.submit(work(++id, "fast", now), now);
            served += decisions.placements.size();
            for (const Placement &it : decisions.placements) {
                dispatcher.started(it.work, now + milliseconds(10));
                dispatcher.finished(it.work, AttemptOutcome::Served, now + milliseconds(10));
            }
        }
        return served;
    };
    serve(60);
    const std::size_t even = serve(40);
    others.begun[slow] = 25000;
    const std::size_t uneven = serve(40);
    CHECK(uneven * 2 <= even);
}

TEST_CASE("others get no spare capacity beside a customer that a host refuses because it is behind",
          "[routing]")
{
    // A large customer's callers all stay with one small host that has no processor time left for
    // their streams. Guards against a fleet that does not count the requests refused by that host
    // as demand, with which the customer gets a tenth of what another one gets as long as the load
    // lasts.
    const ServiceTraits traits{true, 500000, 40, 100000};
    Dispatcher behind(traits, Base::ZoneId("z"));
    Dispatcher idle(traits, Base::ZoneId("z"));
    RegisteredServer server;
    server.id = Base::ServerId("s");
    server.slots = 64;
    PeerLoad othersOfBehind;
    PeerLoad othersOfIdle;
    behind.setServers({server});
    behind.setPeerLoad(othersOfBehind);
    idle.setServers({server});
    idle.setPeerLoad(othersOfIdle);
    std::size_t served = 0;
    WorkId id = 0;
    for (Base::TimePoint now = start; now < start + seconds(6); now += milliseconds(20)) {
        behind.recordRejected(work(++id, "stays", now), now);
        HostLoad load;
        behind.report(load, now);
        othersOfIdle.asked = load.asked;
        idle.advance(now);
        const Decisions decisions = idle.submit(work(++id, "moves", now), now);
        for (const Placement &it : decisions.placements) {
            idle.started(it.work, now);
            idle.finished(it.work, AttemptOutcome::Served, now);
        }
        if (now >= start + seconds(2))
            served += decisions.placements.size();
    }
    // The customer asks for 200 requests in these four seconds; its share of the throughput is 48.
    CHECK(served < 70);
}

TEST_CASE("a customer whose demand jumps does not take the spare capacity from the others",
          "[routing]")
{
    // Another customer's demand jumps. It gets all that it asks for, but its first events come a
    // third of a second later. Guards against limiting a large customer to the other one's earlier
    // amount: half of its requests would be refused while engines use a sixth of their slots.
    CustomerShares shares;
    shares.setThroughput(100000);
    PeerLoad others;
    shares.setPeerLoad(others);
    const Base::CustomerId large("large");
    const Base::CustomerId jumping("jumping");
    others.asked[large] = 400000;
    others.received[large] = 300000;
    others.begun[large] = 300000;
    others.asked[jumping] = 5000;
    others.begun[jumping] = 5000;
    Base::TimePoint now = start;
    const auto pass = [&](Base::Duration time) {
        for (const Base::TimePoint end = now + time; now < end; now += milliseconds(100)) {
            // Two reports of a load that goes on are never the same.
            others.asked[jumping] += 1;
            shares.admission(large, now);
        }
        return shares.admission(large, now);
    };
    CHECK(pass(seconds(3)) == Admission::CachedOnly);
    others.asked[jumping] = 90000;
    CHECK(pass(milliseconds(500)) == Admission::CachedOnly);
    // The customer stays underserved, so its amount now limits the others.
    CHECK(pass(milliseconds(400)) == Admission::AheadOfOthers);
    others.begun[jumping] = 85000;
    CHECK(pass(milliseconds(200)) == Admission::CachedOnly);
    // A short recovery ends the underserved time, and it is counted from zero again.
    others.begun[jumping] = 5000;
    CHECK(pass(milliseconds(300)) == Admission::CachedOnly);
}

TEST_CASE("a flood does not delay customers within their share", "[routing]")
{
    // Guards against a customer that sends hundreds of times its usual load and fills each server's
    // reading queue, so that the first events of all customers are a third of a second late.
    Fleet fleet(4, 6);
    for (int ms = 0; ms < 10000; ms += 2) {
        const Base::TimePoint now = start + milliseconds(ms);
        fleet.submit(static_cast<std::size_t>(ms / 2) % 4, "flood", now);
        if (ms % 100 == 0)
            fleet.submit(static_cast<std::size_t>(ms / 100) % 4, "small", now);
        fleet.advance(now);
    }
    // Without the shares, 47 requests are served, and they are read after 385 ms.
    CHECK(fleet.served("small") >= 85);
    CHECK(fleet.readAfter("small") < milliseconds(260));
}

TEST_CASE("a flood does not leave the pool idle", "[routing]")
{
    // One customer asks for more than the pool can do, and nobody else asks for anything. It should
    // get all the capacity, which is more than the throughput that is shared out.
    Fleet fleet(4, 6);
    for (int ms = 0; ms < 10000; ms += 2) {
        const Base::TimePoint now = start + milliseconds(ms);
        fleet.submit(static_cast<std::size_t>(ms / 2) % 4, "flood", now);
        fleet.advance(now);
    }
    const double most = 6 * 40 * 10000 / 4000.0;
    CHECK(fleet.servedInAll() > 0.9 * most);
}

TEST_CASE("a retry after a failed server is not refused because of its customer's share",
          "[routing]")
{
    // A stream's server crashes. Guards against refusing the second attempt because its customer
    // has received more than its share in the meantime, although other servers have capacity.
    const ServiceTraits traits{true, 500000, 40, 1000};
    Dispatcher dispatcher(traits, Base::ZoneId("z"));
    std::vector<RegisteredServer> servers(2);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        servers[i].id = Base::ServerId("s" + std::to_string(i));
        servers[i].slots = 64;
    }
    dispatcher.setServers(servers);
    Work first = work(1, "large", start);
    first.promptTokens = 80000;
    const Decisions placed = dispatcher.submit(first, start);
    REQUIRE(placed.placements.size() == 1);
    // Others ask for more than the pool has, and the large customer is far beyond its share by now.
    for (WorkId id = 2; id < 40; ++id)
        dispatcher.submit(work(id, "small", start), start);
    for (WorkId id = 2; id < 40; ++id) {
        dispatcher.withdraw(id);
        dispatcher.finished(id, AttemptOutcome::Withdrawn, start);
    }
    dispatcher.finished(1, AttemptOutcome::Broken, start);
    first.tried = {placed.placements.front().server};
    const Decisions again = dispatcher.submit(first, start + milliseconds(200));
    CHECK(again.rejected.empty());
    CHECK(again.placements.size() == 1);
}

TEST_CASE("the customer that received least is next, and its most urgent request is first",
          "[routing]")
{
    FairWaitQueue waiting;
    Work urgent = work(3, "large", start);
    urgent.priority = 0;
    Work later = work(2, "large", start);
    later.priority = 1;
    waiting.push(later);
    waiting.push(urgent);
    waiting.push(work(1, "small", start));
    const auto received = [](const Base::CustomerId &customer) {
        return customer.value() == "large" ? 100.0 : 1.0;
    };
    CHECK(waiting.takeNext(received)->id == 1);
    CHECK(waiting.takeNext(received)->id == 3);
    CHECK(waiting.tokens() == 4000);
    CHECK(waiting.remove(2));
    CHECK_FALSE(waiting.remove(2));
    CHECK(waiting.isEmpty());
    CHECK(waiting.tokens() == 0);
    CHECK_FALSE(waiting.takeNext(received));
}
