#include "routing/dispatcher.h"
#include "routing/serverchoice.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};
constexpr std::uint32_t sharedTokens = 13000;
constexpr std::uint32_t ownTokens = 3000;

std::vector<RegisteredServer> servers(std::size_t count, std::uint32_t slots = 64)
{
    std::vector<RegisteredServer> all;
    for (std::size_t i = 0; i < count; ++i) {
        RegisteredServer server;
        server.id = Base::ServerId("s" + std::to_string(i));
        server.slots = slots;
        server.zone = Base::ZoneId(i % 2 == 0 ? "near" : "far");
        all.push_back(server);
    }
    return all;
}

Dispatcher engineDispatcher(std::size_t count)
{
    const ServiceTraits traits{true, 500000, 40, 0};
    Dispatcher dispatcher(traits, Base::ZoneId("near"));
    dispatcher.setTraits(traits);
    dispatcher.setServers(servers(count));
    return dispatcher;
}

Work prompt(WorkId id, std::uint64_t beginning, Base::TimePoint now)
{
    Work work;
    work.id = id;
    work.customer = Base::CustomerId("c");
    work.arrivedAt = now;
    work.startBy = now + milliseconds(800);
    work.deadline = now + seconds(8);
    work.promptTokens = sharedTokens + ownTokens;
    work.outputTokens = 100;
    work.parts = {{beginning, sharedTokens}, {id * 7919, ownTokens}};
    return work;
}

Base::ServerId onlyPlacement(const Decisions &decisions)
{
    return decisions.placements.size() == 1 ? decisions.placements.front().server
                                            : Base::ServerId();
}

} // namespace

TEST_CASE("a prompt goes to the server that has its beginning cached", "[routing]")
{
    Dispatcher dispatcher = engineDispatcher(18);
    const Base::ServerId first = onlyPlacement(dispatcher.submit(prompt(1, 42, start), start));
    REQUIRE_FALSE(first.isEmpty());
    dispatcher.started(1, start + milliseconds(400));
    dispatcher.finished(1, AttemptOutcome::Served, start + milliseconds(500));
    for (WorkId id = 2; id < 20; ++id) {
        const Base::TimePoint now = start + milliseconds(400) * id;
        CHECK(onlyPlacement(dispatcher.submit(prompt(id, 42, now), now)) == first);
        dispatcher.started(id, now + milliseconds(100));
        dispatcher.finished(id, AttemptOutcome::Served, now + milliseconds(300));
    }
}

TEST_CASE("hosts that see a beginning at the same moment choose the same server", "[routing]")
{
    // Guards against a long beginning that four to six servers of a lightly loaded pool read, each
    // for a third of a second, because no host knows what the others sent.
    for (std::uint64_t beginning = 1; beginning < 30; ++beginning) {
        Dispatcher one = engineDispatcher(18);
        Dispatcher other = engineDispatcher(18);
        CHECK(onlyPlacement(one.submit(prompt(1, beginning, start), start))
              == onlyPlacement(other.submit(prompt(2, beginning, start), start)));
    }
}

TEST_CASE("the prompt parts that another host sent are known from its report", "[routing]")
{
    Dispatcher one = engineDispatcher(18);
    Dispatcher other = engineDispatcher(18);
    std::set<Base::ServerId> used;
    // The first host has to spread the beginning over servers, because the usual server is busy.
    for (WorkId id = 1; id <= 12; ++id) {
        const Base::ServerId server = onlyPlacement(one.submit(prompt(id, 42, start), start));
        if (!server.isEmpty())
            used.insert(server);
    }
    HostLoad load;
    one.report(load, start);
    REQUIRE(load.partUses.size() >= used.size());
    other.applyPartUses(load.partUses, start);
    const Base::TimePoint now = start + milliseconds(200);
    for (WorkId id = 100; id < 104; ++id)
        CHECK(used.count(onlyPlacement(other.submit(prompt(id, 42, now), now))) == 1);
    HostLoad second;
    one.report(second, start);
    CHECK(second.partUses.empty());
}

TEST_CASE("the beginning that a busy server has cached is read elsewhere only if that is sooner",
          "[routing]")
{
    Dispatcher dispatcher = engineDispatcher(4);
    std::set<Base::ServerId> used;
    std::size_t placed = 0;
    std::size_t rejected = 0;
    for (WorkId id = 1; id <= 40; ++id) {
        const Decisions decisions = dispatcher.submit(prompt(id, 42, start), start);
        for (const Placement &it : decisions.placements)
            used.insert(it.server);
        placed += decisions.placements.size();
        rejected += decisions.rejected.size();
    }
    // Each of the four servers takes what it can start in time, and requests that cannot start in
    // time are not kept.
    CHECK(used.size() == 4);
    CHECK(placed >= 4);
    CHECK(placed + rejected + dispatcher.waiting() == 40);
    CHECK(rejected > 0);
}

TEST_CASE("requests that wait for a server count as its load", "[routing]")
{
    // A hundred requests with one beginning arrive at once. Guards against estimates that ignore
    // waiting requests: all of them would wait for the server that has the beginning cached,
    // although three others are idle.
    Dispatcher dispatcher = engineDispatcher(4);
    std::set<Base::ServerId> used;
    for (WorkId id = 1; id <= 30; ++id) {
        Work work = prompt(id, 42, start);
        work.startBy = start + seconds(20);
        work.deadline = start + seconds(40);
        for (const Placement &it : dispatcher.submit(work, start).placements)
            used.insert(it.server);
    }
    CHECK(used.size() == 4);
}

TEST_CASE("a request that could not start in time is rejected at once, with a retry time",
          "[routing]")
{
    // A burst of long prompts reaches a full pool. Without the check, all of them wait until their
    // callers have given up, and the pool's work is of no use to anybody.
    Dispatcher dispatcher = engineDispatcher(1);
    std::size_t rejected = 0;
    for (WorkId id = 1; id <= 60; ++id) {
        for (const Rejection &it : dispatcher.submit(prompt(id, id, start), start).rejected) {
            CHECK(it.reason == RejectionReason::TooLate);
            CHECK(it.retryAfter >= milliseconds(200));
            CHECK(it.retryAfter <= milliseconds(2000));
            ++rejected;
        }
    }
    CHECK(rejected > 40);
    // The waiting requests are decided before half of their time to start has passed.
    const Base::TimePoint late = start + milliseconds(425);
    const std::size_t waiting = dispatcher.waiting();
    const Decisions decisions = dispatcher.advance(late);
    CHECK(decisions.rejected.size() + decisions.placements.size() == waiting);
    CHECK(dispatcher.waiting() == 0);
}

TEST_CASE("a server that cannot be reached is not used for a while, and then tried again",
          "[routing]")
{
    Dispatcher dispatcher = engineDispatcher(2);
    Work work = prompt(1, 42, start);
    const Base::ServerId first = onlyPlacement(dispatcher.submit(work, start));
    dispatcher.finished(1, AttemptOutcome::Unreachable, start);
    work.tried = {first};
    CHECK(onlyPlacement(dispatcher.submit(work, start)) != first);
    Base::TimePoint now = start;
    std::set<Base::ServerId> used;
    for (WorkId id = 2; id < 40; ++id) {
        now += milliseconds(200);
        used.insert(onlyPlacement(dispatcher.submit(prompt(id, id, now), now)));
        dispatcher.started(id, now);
        dispatcher.finished(id, AttemptOutcome::Served, now);
    }
    CHECK(used.count(first) == 1);
}

// Guards against a request that is sent again to the server that still works on it.
TEST_CASE("a request is not placed at the server that still has it", "[routing]")
{
    Dispatcher dispatcher = engineDispatcher(2);
    const Base::ServerId first = onlyPlacement(dispatcher.submit(prompt(2, 42, start), start));
    const Base::TimePoint now = start + seconds(2);
    dispatcher.silent(2, now);
    // The other server is full.
    WorkId id = 10;
    for (; id < 500; ++id) {
        Work work = prompt(id, id, now);
        work.runningAt = first;
        if (onlyPlacement(dispatcher.submit(std::move(work), now)).isEmpty())
            break;
    }
    REQUIRE(id < 500);
    Work again = prompt(3, 42, now);
    again.tried = {first};
    again.runningAt = first;
    CHECK(dispatcher.submit(again, now).placements.empty());
    for (int i = 1; i < 100; ++i)
        CHECK(dispatcher.advance(now + milliseconds(100) * i).placements.empty());
}

// Guards against a server that is blamed for one silence at its beginning and again at its end.
TEST_CASE("a silent attempt counts once against its server", "[routing]")
{
    Dispatcher once = engineDispatcher(1);
    Dispatcher twice = engineDispatcher(1);
    for (Dispatcher *it : {&once, &twice})
        onlyPlacement(it->submit(prompt(2, 42, start), start));
    twice.silent(2, start + seconds(2));
    for (Dispatcher *it : {&once, &twice}) {
        it->finished(2, AttemptOutcome::Silent, start + seconds(2));
        const Decisions decisions =
            it->submit(prompt(4, 43, start + seconds(2)), start + seconds(2));
        REQUIRE(decisions.placements.size() == 1);
        CHECK(decisions.placements.front().inputs.failureShare == Approx(0.2));
    }
}

TEST_CASE("a server that fails part of its requests gets few requests", "[routing]")
{
    // The server's health check passes and it answers fast. Guards against treating it as the least
    // loaded server, which would attract the requests that it then fails.
    const ServiceTraits traits;
    Dispatcher dispatcher(traits, Base::ZoneId("near"));
    dispatcher.setTraits(traits);
    dispatcher.setServers(servers(4, 6));
    std::map<Base::ServerId, int> counts;
    Base::TimePoint now = start;
    for (WorkId id = 1; id <= 2000; ++id) {
        now += milliseconds(10);
        Work work = prompt(id, 0, now);
        work.parts.clear();
        const Base::ServerId server = onlyPlacement(dispatcher.submit(work, now));
        ++counts[server];
        const bool fails = server.value() == "s2" && id % 2 == 0;
        dispatcher.finished(id, fails ? AttemptOutcome::ServerError : AttemptOutcome::Served, now);
    }
    CHECK(counts[Base::ServerId("s2")] < 100);
}

TEST_CASE("a pool is used if the configuration gives no throughput", "[routing]")
{
    // The configuration gives no throughput. Guards against estimating the reading time as
    // infinite, with which all requests for a model are refused although its servers are idle.
    const ServiceTraits traits{true, 500000, 0, 0};
    Dispatcher dispatcher(traits, Base::ZoneId("near"));
    dispatcher.setServers(servers(2));
    CHECK_FALSE(onlyPlacement(dispatcher.submit(prompt(1, 42, start), start)).isEmpty());
}

TEST_CASE("each request is decided exactly once, whatever happens", "[routing]")
{
    rc::prop("each request is placed, turned away or waits", [] {
        Dispatcher dispatcher = engineDispatcher(static_cast<std::size_t>(*rc::gen::inRange(0, 4)));
        std::set<WorkId> open;
        std::vector<WorkId> running;
        Base::TimePoint now = start;
        WorkId last = 0;
        const auto take = [&](const Decisions &decisions) {
            for (const Placement &it : decisions.placements) {
                RC_ASSERT(open.erase(it.work) == 1);
                running.push_back(it.work);
            }
            for (const Rejection &it : decisions.rejected)
                RC_ASSERT(open.erase(it.work) == 1);
        };
        const int steps = *rc::gen::inRange(1, 150);
        for (int i = 0; i < steps; ++i) {
            now += milliseconds(*rc::gen::inRange(0, 60));
            const int what = *rc::gen::inRange(0, 6);
            if (what < 3) {
                open.insert(++last);
                take(dispatcher.submit(prompt(last, *rc::gen::inRange(0U, 3U), now), now));
            } else if (what < 5 && !running.empty()) {
                const auto outcome = *rc::gen::element(
                    AttemptOutcome::Served, AttemptOutcome::Broken, AttemptOutcome::NoRoom,
                    AttemptOutcome::Unreachable, AttemptOutcome::Withdrawn);
                const WorkId id = running.back();
                running.pop_back();
                take(dispatcher.finished(id, outcome, now));
            } else {
                take(dispatcher.advance(now));
            }
            RC_ASSERT(dispatcher.waiting() == open.size());
        }
    });
}

TEST_CASE("a beginning whose source is busy is fetched and not read again", "[routing]")
{
    // Guards against engines that read again what another engine has cached whenever that one is
    // busy. Without fetches these are a sixth of all tokens read, and reading them delays the
    // tokens of the requests that run there.
    ServiceTraits traits{true, 500000, 40, 0};
    const auto fetchedOf = [&traits](Base::Duration readFor) {
        Dispatcher dispatcher(traits, Base::ZoneId("near"));
        dispatcher.setServers(servers(4));
        dispatcher.submit(prompt(1, 42, start), start);
        const Base::TimePoint later = start + readFor;
        std::vector<Placement> placements;
        for (WorkId id = 2; id <= 8; ++id) {
            const Decisions decisions = dispatcher.submit(prompt(id, 42, later), later);
            placements.insert(placements.end(), decisions.placements.begin(),
                              decisions.placements.end());
        }
        std::uint32_t fetched = 0;
        for (const Placement &it : placements) {
            CHECK(it.fetchFrom.isEmpty() == (it.inputs.fetchedTokens == 0));
            CHECK(it.fetchFrom != it.server);
            fetched += it.inputs.fetchedTokens;
        }
        return fetched;
    };
    CHECK(fetchedOf(seconds(1)) == 0);
    traits.transferMsPerToken = 0.001;
    CHECK(fetchedOf(seconds(1)) >= 3 * sharedTokens);
    // The source has not read the beginning yet, so a fetch would return nothing.
    CHECK(fetchedOf(milliseconds(10)) == 0);
    // With slow links, reading is cheaper.
    traits.transferMsPerToken = 0.2;
    CHECK(fetchedOf(seconds(1)) == 0);
}

TEST_CASE("nothing is fetched from a server that fails", "[routing]")
{
    // A source stops answering. Guards against fetches from it, with which requests start late at
    // healthy servers.
    ServiceTraits traits{true, 500000, 40, 0, 0.001};
    Dispatcher dispatcher(traits, Base::ZoneId("near"));
    dispatcher.setServers(servers(3));
    const Base::ServerId source = onlyPlacement(dispatcher.submit(prompt(1, 42, start), start));
    const Base::TimePoint later = start + seconds(1);
    dispatcher.finished(1, AttemptOutcome::Silent, later);
    Work again = prompt(1, 42, later);
    again.tried = {source};
    const Decisions decisions = dispatcher.submit(again, later);
    REQUIRE(decisions.placements.size() == 1);
    CHECK(decisions.placements[0].fetchFrom.isEmpty());
    const Decisions others = dispatcher.submit(prompt(2, 42, later), later);
    REQUIRE(others.placements.size() == 1);
    CHECK(others.placements[0].fetchFrom != source);
}

// Guards against cached prompts that one software version wrote and another one goes on with.
TEST_CASE("a beginning is fetched only from servers of the same software version", "[routing]")
{
    const ServiceTraits traits{true, 500000, 40, 0, 0.001};
    Dispatcher dispatcher(traits, Base::ZoneId("near"));
    std::vector<RegisteredServer> all = servers(6);
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i].softwareVersion = i < 3 ? "v1" : "v2";
    dispatcher.setServers(all);
    const auto versionOf = [&](const Base::ServerId &id) {
        return all[std::stoul(id.value().substr(1))].softwareVersion;
    };
    dispatcher.submit(prompt(1, 42, start), start);
    const Base::TimePoint later = start + seconds(1);
    std::size_t fetches = 0;
    std::set<std::string> used;
    for (WorkId id = 2; id <= 24; ++id) {
        for (const Placement &it : dispatcher.submit(prompt(id, 42, later), later).placements) {
            used.insert(versionOf(it.server));
            if (it.fetchFrom.isEmpty())
                continue;
            ++fetches;
            CHECK(versionOf(it.fetchFrom) == versionOf(it.server));
        }
    }
    CHECK(fetches > 0);
    CHECK(used.size() == 2);
}

TEST_CASE("fetches are spread over sources, and sources of the same zone are preferred",
          "[routing]")
{
    const ServerCost cost(ServiceTraits{true, 500000, 40, 0, 0.002});
    const Base::ZoneId near("near");
    const Base::ZoneId far("far");
    const PrefixSource idle{Base::ServerId("idle"), near, 13000, 0};
    const PrefixSource busy{Base::ServerId("busy"), near, 13000, 30};
    const PrefixSource other{Base::ServerId("other"), far, 13000, 0};
    const auto from = [&](std::vector<PrefixSource> sources) {
        const auto plan = PrefixFetch(cost, std::move(sources)).plan(Base::ServerId("x"), near, 0);
        return plan ? plan->from.value() : "none";
    };
    CHECK(from({busy, idle, other}) == "idle");
    CHECK(from({other, idle}) == "idle");
    CHECK(from({other, busy}) == "other");
    CHECK(from({}) == "none");
    const PrefixFetch fetch(cost, {idle});
    // A server does not fetch from itself, nor tokens that it has cached, nor so few that reading
    // them takes less time.
    CHECK_FALSE(fetch.plan(idle.server, near, 0));
    CHECK_FALSE(fetch.plan(Base::ServerId("x"), near, 13000));
    CHECK_FALSE(fetch.plan(Base::ServerId("x"), near, 12950));
    CHECK(fetch.plan(Base::ServerId("x"), near, 8000)->tokens == 5000);
}

TEST_CASE("a flood beyond its share does not make other servers read a beginning again",
          "[routing]")
{
    // Guards against floods that fill the servers' memory with further copies of beginnings, so
    // that those of all customers are read again.
    const ServiceTraits traits{true, 500000, 40, 0};
    ServerPool pool(traits, Base::HostId());
    pool.setServers(servers(2));
    ServerChoice choice(Base::ZoneId("near"), Base::HostId());
    const Base::TimePoint now = start + seconds(1);
    const Work work = prompt(1, 1000, now);
    const auto select = [&](Admission admission) {
        return choice.select(pool, work, now, admission, true);
    };
    CHECK(select(Admission::CachedOnly));
    ServerState &keeper = *pool.find(Base::ServerId("s0"));
    keeper.cache.recordUse(sharedPrefixHashes(work.parts).back().hash, start, start);
    REQUIRE(select(Admission::CachedOnly));
    CHECK(select(Admission::CachedOnly)->state == &keeper);
    keeper.own.running = 60;
    CHECK_FALSE(select(Admission::CachedOnly));
    CHECK(select(Admission::SpareCapacity));
    CHECK(select(Admission::WithinShare));
    // What a server has cached that cannot be used now keeps nobody from the others.
    keeper.health.record(AttemptOutcome::Unreachable, now);
    CHECK(select(Admission::CachedOnly));
}
