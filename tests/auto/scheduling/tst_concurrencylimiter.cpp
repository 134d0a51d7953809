#include "poolmodel.h"
#include "scheduling/concurrencylimiter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>
#include <iostream>

using namespace Scheduling;
using Base::Milliseconds;

namespace {

struct ServerShape
{
    std::uint64_t seed = 1;
    std::size_t slots = 32;
    /// Mean time that an answer takes; single ones take from a tenth to three times as long.
    std::int64_t meanWhole = 800;
    std::int64_t reportLag = 400;
    std::int64_t roundTrip = 4;
    /// Reports show up to this many running less, and now and then twice as many queued more.
    std::size_t noise = 0;
};

/// One engine that admits in order of arrival, with work always waiting for a permit, in steps
/// of 1 ms. Reports are polled every 500 ms and show the past.
class ServerModel
{
public:
    explicit ServerModel(const ServerShape &shape)
        : shape(shape)
        , limiter(*ConcurrencyLimiter::create({}))
        , m_random(shape.seed)
    {}

    void run(std::int64_t milliseconds)
    {
        busy = 0;
        offered = 0;
        longestQueue = 0;
        for (const std::int64_t until = m_now + milliseconds; m_now < until; ++m_now)
            step();
    }

    double utilisation() const { return double(busy) / double(offered); }

    ServerShape shape;
    ConcurrencyLimiter limiter;
    bool isFrozen = false;
    bool isFailing = false;
    bool isReachable = true;
    std::int64_t slowness = 1;
    std::size_t inUse = 0;
    std::size_t sent = 0;
    std::size_t busy = 0;
    std::size_t offered = 0;
    std::size_t longestQueue = 0;

private:
    struct Running
    {
        std::int64_t sentAt = 0;
        std::int64_t startedAt = 0;
        std::int64_t endsAt = 0;
    };

    void step()
    {
        if (!isFrozen)
            serve();
        for (auto it = m_ended.begin(); it != m_ended.end() && it->first <= m_now;)
            it = release(it);
        busy += std::min(m_running.size(), shape.slots);
        offered += shape.slots;
        longestQueue = std::max(longestQueue, m_queue.size());
        m_past.push_back({m_running.size(), m_queue.size()});
        if (m_past.size() > static_cast<std::size_t>(shape.reportLag) + 1)
            m_past.pop_front();
        if (m_now % 500 == 0)
            poll();
        if (m_now % 20 == 0)
            limiter.advance(inUse, at(m_now));
        for (; inUse < limiter.limit(); ++inUse, ++sent)
            m_arriving.emplace(m_now + shape.roundTrip / 2, m_now);
    }

    void serve()
    {
        for (std::size_t i = 0; i < m_running.size();) {
            if (m_running[i].endsAt > m_now) {
                ++i;
                continue;
            }
            m_ended.emplace(m_now + shape.roundTrip / 2, m_running[i]);
            m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(i));
        }
        while (!m_arriving.empty() && m_arriving.begin()->first <= m_now) {
            m_queue.push_back(m_arriving.begin()->second);
            m_arriving.erase(m_arriving.begin());
        }
        while (!m_queue.empty() && m_running.size() < shape.slots) {
            const std::int64_t part = m_random() % 8 == 0 ? 300 : 10 + m_random() % 120;
            const std::int64_t whole = isFailing ? 1 : shape.meanWhole * slowness * part / 100;
            m_running.push_back({m_queue.front(), m_now, m_now + std::max<std::int64_t>(1, whole)});
            m_queue.pop_front();
        }
    }

    std::multimap<std::int64_t, Running>::iterator
    release(std::multimap<std::int64_t, Running>::iterator it)
    {
        PermitReport report;
        report.outcome = isFailing ? PermitOutcome::Failed : PermitOutcome::Completed;
        report.firstToken = Milliseconds(it->second.startedAt - it->second.sentAt + 60 * slowness
                                         + m_random() % 40);
        report.whole = Milliseconds(m_now - it->second.sentAt);
        limiter.recordPermit(report, inUse, at(m_now));
        --inUse;
        return m_ended.erase(it);
    }

    void poll()
    {
        if (!isReachable) {
            limiter.recordUnreachable(at(m_now));
            return;
        }
        LoadReport report = m_past.front();
        if (shape.noise > 0)
            report.running -= std::min(report.running, m_random() % (shape.noise + 1));
        if (shape.noise > 0 && m_random() % 10 == 0)
            report.queued += 2 * shape.noise;
        limiter.recordLoad(report, at(m_now));
    }

    std::mt19937_64 m_random;
    std::int64_t m_now = 0;
    std::vector<Running> m_running;
    std::deque<std::int64_t> m_queue;
    std::multimap<std::int64_t, std::int64_t> m_arriving;
    std::multimap<std::int64_t, Running> m_ended;
    std::deque<LoadReport> m_past;
};

ServerShape anyShape()
{
    ServerShape shape;
    shape.seed = *rc::gen::arbitrary<std::uint64_t>();
    shape.slots = *rc::gen::inRange<std::size_t>(1, 200);
    shape.meanWhole = *rc::gen::inRange(200, 3000);
    shape.reportLag = *rc::gen::inRange(0, 1500);
    shape.noise = *rc::gen::inRange<std::size_t>(0, 3);
    return shape;
}

} // namespace

TEST_CASE("the limit keeps any engine full and its queue short", "[scheduling]")
{
    // Answers start late although half the servers have room: the limit swings between too
    // many and too few, since each report shows what the last change but one had done.
    rc::prop("for any size, answer time, lag and noise; also when the size changes", [] {
        const ServerShape shape = anyShape();
        ServerModel server(shape);
        server.run(40000);
        for (const std::size_t slots : {shape.slots, shape.slots / 2 + 1, shape.slots}) {
            server.shape.slots = slots;
            const bool hasShrunk = slots < shape.slots;
            server.run(20000);
            RC_ASSERT(!hasShrunk || server.utilisation() >= 0.98);
            server.run(40000);
            RC_ASSERT(server.utilisation() >= 0.98);
            RC_ASSERT(server.longestQueue <= 4 + slots / 4);
        }
    });
}

TEST_CASE("a healthy server is used in full within seconds", "[scheduling]")
{
    ServerModel server({1, 128, 2000, 400, 4, 0});
    server.run(6000);
    server.run(2000);
    CHECK(server.utilisation() >= 0.98);
}

TEST_CASE("a frozen server is given up, probed one at a time and taken back slowly", "[scheduling]")
{
    // Every tenth caller waits half a minute for nothing: one engine hangs, has all its permits
    // in use and, as the emptiest, is given each new one that frees.
    ServerModel server({1, 32, 500, 400, 4, 0});
    server.run(20000);
    const std::size_t before = server.limiter.limit();
    server.isFrozen = true;
    server.isReachable = false;
    server.run(2000);
    CHECK(server.limiter.limit() == 0);
    CHECK(!server.limiter.isHealthy());
    const std::size_t sent = server.sent;
    server.run(120000);
    CHECK(server.sent == sent);
    server.isFrozen = false;
    server.isReachable = true;
    server.run(3000);
    CHECK(server.limiter.condition() == ServerCondition::Recovering);
    CHECK(server.limiter.limit() < before / 2);
    server.run(60000);
    CHECK(server.limiter.isHealthy());
    CHECK(server.utilisation() > 0.8);
}

TEST_CASE("a server that fails everything costs one request for each probe", "[scheduling]")
{
    ServerModel server({1, 32, 500, 400, 4, 0});
    server.run(10000);
    server.isFailing = true;
    server.run(1000);
    CHECK(!server.limiter.isHealthy());
    const std::size_t sent = server.sent;
    server.run(120000);
    CHECK(server.sent - sent >= 4);
    CHECK(server.sent - sent <= 8);
}

TEST_CASE("failures of old work do not count against a probe", "[scheduling]")
{
    // A server that was mended stays out for minutes: the work cut by its crash times out one
    // by one, and each time that is taken for a failed probe.
    ConcurrencyLimiter limiter = *ConcurrencyLimiter::create({});
    PermitReport failed;
    failed.outcome = PermitOutcome::Failed;
    for (int i = 0; i < 3; ++i)
        limiter.recordPermit(failed, 20, at(1000));
    REQUIRE(limiter.condition() == ServerCondition::Failing);
    limiter.advance(17, at(2000));
    REQUIRE(limiter.limit() == 1);
    failed.whole = Milliseconds(5000);
    limiter.recordPermit(failed, 17, at(2500));
    CHECK(limiter.condition() == ServerCondition::Probing);
    failed.whole = Milliseconds(100);
    limiter.recordPermit(failed, 1, at(2600));
    CHECK(limiter.condition() == ServerCondition::Failing);
}

TEST_CASE("a frozen server that still reports its load is found by its silence", "[scheduling]")
{
    ServerModel server({1, 32, 500, 400, 4, 0});
    server.run(20000);
    server.isFrozen = true;
    server.run(29000);
    CHECK(server.limiter.isHealthy());
    server.run(3000);
    CHECK(!server.limiter.isHealthy());
}

TEST_CASE("a slow server without a queue shrinks and comes back", "[scheduling]")
{
    ServerModel server({1, 64, 300, 400, 4, 0});
    server.run(20000);
    const std::size_t before = server.limiter.limit();
    server.slowness = 12;
    server.shape.slots = 400;
    // All servers alike: the work has become long, and the server is given as much as before.
    server.limiter.setPeersFirstToken(Milliseconds(600));
    server.run(20000);
    CHECK(server.limiter.limit() >= before);
    server.limiter.setPeersFirstToken(Milliseconds(60));
    server.run(60000);
    CHECK(server.limiter.limit() < before / 2);
    // A moment's slowness is one cut, however many answers of that moment end later.
    ServerModel brief({1, 64, 300, 400, 4, 0});
    brief.limiter.setPeersFirstToken(Milliseconds(60));
    brief.run(20000);
    brief.shape.slots = 400;
    brief.slowness = 12;
    brief.run(1000);
    brief.slowness = 1;
    brief.run(8000);
    CHECK(brief.limiter.limit() > before / 2);
    server.slowness = 1;
    server.shape.slots = 64;
    server.run(60000);
    server.run(20000);
    CHECK(server.utilisation() >= 0.98);
}

TEST_CASE("measure: limit against size, lag and answer time", "[.measure]")
{
    for (const std::size_t slots : {4, 16, 64, 200}) {
        for (const std::int64_t whole : {50, 300, 3000}) {
            for (const std::int64_t lag : {0, 400, 1500}) {
                ServerModel server({20261, slots, whole, lag, 4, 1});
                server.run(10000);
                const double first = server.utilisation();
                server.run(20000);
                server.run(120000);
                std::cout << "slots " << slots << " answer " << whole << " ms lag " << lag
                          << " ms: first 10 s " << first << " then " << server.utilisation()
                          << " longest queue " << server.longestQueue << " limit "
                          << server.limiter.limit() << '\n';
            }
        }
    }
}
