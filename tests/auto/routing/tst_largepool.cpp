#include "routing/dispatcher.h"
#include "support/cputime.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

std::vector<RegisteredServer> servers(std::size_t n)
{
    std::vector<RegisteredServer> all(n);
    for (std::size_t i = 0; i < n; ++i) {
        all[i].id = Base::ServerId("s" + std::to_string(i));
        all[i].slots = 24;
        all[i].zone = Base::ZoneId("z" + std::to_string(i % 6));
    }
    return all;
}

Dispatcher dispatcherOf(std::size_t n, const std::string &host = "a")
{
    Dispatcher dispatcher({true, 200'000'000, 40, 0}, Base::ZoneId("z0"), Base::HostId(host));
    dispatcher.setServers(servers(n));
    return dispatcher;
}

Work prompt(WorkId id, std::uint64_t beginning, Base::TimePoint now)
{
    Work work;
    work.id = id;
    work.customer = Base::CustomerId("c" + std::to_string(id % 50));
    work.arrivedAt = now;
    work.startBy = now + milliseconds(800);
    work.deadline = now + seconds(8);
    work.promptTokens = 16000;
    work.outputTokens = 100;
    work.parts = {{beginning, 13000}, {id * 7919, 3000}};
    return work;
}

Base::ServerId placed(Dispatcher &dispatcher, const Work &work, Base::TimePoint now)
{
    const Decisions decisions = dispatcher.submit(work, now);
    CAPTURE(work.id);
    if (!decisions.rejected.empty())
        FAIL("rejected: " << nameOf(decisions.rejected.front().reason) << ", "
                          << nameOf(decisions.rejected.front().shareLimit));
    REQUIRE(decisions.placements.size() == 1);
    return decisions.placements.front().server;
}

} // namespace

TEST_CASE("the choice of a server takes the same time in a pool of any size", "[routing]")
{
    // Guards against hosts that are busy with choosing: to look at ten thousand servers takes
    // milliseconds, and a host forwards hundreds of requests a second.
    struct Pool
    {
        Dispatcher dispatcher;
        WorkId id = 0;
        Base::Duration least = Base::Duration::max();
    };
    Pool small{dispatcherOf(1000)};
    Pool large{dispatcherOf(100000)};
    // Runs of the two take turns, so that both meet the same clock rate and the same neighbours.
    for (int run = 0; run < 7; ++run) {
        for (Pool *const pool : {&small, &large}) {
            const Base::Duration begin = threadCpuTime();
            for (int i = 0; i < 100; ++i) {
                const WorkId id = ++pool->id;
                placed(pool->dispatcher, prompt(id, id % 300, start), start);
                pool->dispatcher.started(id, start);
                pool->dispatcher.finished(id, AttemptOutcome::Served, start);
            }
            pool->least = std::min(pool->least, threadCpuTime() - begin);
        }
    }
    // A hundred times as many servers, of which fewer are in the processor's caches.
    CHECK(large.least < 10 * small.least);
}

TEST_CASE("a prompt goes to the server that has its beginning cached in a large pool", "[routing]")
{
    Dispatcher dispatcher = dispatcherOf(2000);
    const Base::ServerId first = placed(dispatcher, prompt(1, 42, start), start);
    dispatcher.started(1, start + milliseconds(400));
    dispatcher.finished(1, AttemptOutcome::Served, start + milliseconds(500));
    for (WorkId id = 2; id < 50; ++id) {
        const Base::TimePoint now = start + milliseconds(200) * id;
        CHECK(placed(dispatcher, prompt(id, 42, now), now) == first);
        dispatcher.started(id, now + milliseconds(100));
        dispatcher.finished(id, AttemptOutcome::Served, now + milliseconds(150));
    }
    // What other hosts have sent counts as well.
    const Base::ServerId other("s77");
    dispatcher.applyPartUses({{other, sharedPrefixHashes(prompt(0, 43, start).parts).back().hash}},
                             start);
    const Base::TimePoint now = start + seconds(1);
    CHECK(placed(dispatcher, prompt(100, 43, now), now) == other);
}

TEST_CASE("all hosts send a new beginning to the same server of a large pool", "[routing]")
{
    // Guards against hosts of which each lets another server read the same beginning.
    std::map<std::string, Dispatcher> hosts;
    for (const std::string name : {"a", "b", "c"})
        hosts.emplace(name, dispatcherOf(2000, name));
    for (WorkId id = 1; id < 50; ++id) {
        std::set<Base::ServerId> chosen;
        for (auto &[name, host] : hosts) {
            chosen.insert(placed(host, prompt(id, 1000 + id, start), start));
            host.started(id, start);
            host.finished(id, AttemptOutcome::Served, start);
        }
        CHECK(chosen.size() == 1);
    }
}

TEST_CASE("requests spread over a large pool, and find capacity where little is left", "[routing]")
{
    // Guards against requests that wait or are refused beside idle servers, since a choice looks at
    // some of the servers only.
    Dispatcher dispatcher = dispatcherOf(2000);
    // One of these prompts is all that a server reads ahead.
    std::set<Base::ServerId> busy;
    for (WorkId id = 1; id <= 1500; ++id)
        busy.insert(placed(dispatcher, prompt(id, id, start), start));
    CHECK(busy.size() == 1500);

    Dispatcher full = dispatcherOf(2000, "b");
    PeerLoad peers;
    for (std::size_t i = 0; i < 2000; ++i) {
        if (i % 20 != 7)
            peers.servers[Base::ServerId("s" + std::to_string(i))] = {24, 16000};
    }
    full.setPeerLoad(peers);
    for (WorkId id = 1; id <= 50; ++id) {
        const Base::ServerId server = placed(full, prompt(id, id, start), start);
        CHECK_FALSE(peers.servers.contains(server));
    }
}

TEST_CASE("a request that few servers of a large pool may run finds them", "[routing]")
{
    std::vector<RegisteredServer> all = servers(3000);
    all[1234].softwareVersion = "v2";
    Dispatcher dispatcher = dispatcherOf(3000);
    dispatcher.setServers(all);
    for (WorkId id = 1; id <= 10; ++id) {
        Work work = prompt(id, id, start);
        work.softwareVersion = "v2";
        CHECK(placed(dispatcher, work, start) == all[1234].id);
        dispatcher.finished(id, AttemptOutcome::Served, start);
    }
}

TEST_CASE("what a host does besides requests hardly grows with the pool", "[routing]")
{
    // Guards against hosts that go through thousands of servers forty times a second.
    std::map<std::size_t, Base::Duration> times;
    for (const std::size_t n : {1000U, 10000U}) {
        Dispatcher dispatcher = dispatcherOf(n);
        Base::TimePoint now = start;
        times[n] = leastCpuTime([&] {
            for (int i = 0; i < 40; ++i)
                dispatcher.advance(now += milliseconds(25));
        });
    }
    // A second of it may take a tenth of an eighth of a core.
    CHECK(times[10000] < milliseconds(12));
}
