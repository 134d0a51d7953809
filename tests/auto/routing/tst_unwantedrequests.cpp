#include "routing/dispatcher.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

std::vector<RegisteredServer> servers(std::size_t count)
{
    std::vector<RegisteredServer> all;
    for (std::size_t i = 0; i < count; ++i) {
        RegisteredServer server;
        server.id = Base::ServerId("s" + std::to_string(i));
        server.slots = 4;
        server.zone = Base::ZoneId(i % 2 == 0 ? "near" : "far");
        all.push_back(server);
    }
    return all;
}

ServiceTraits traits(bool isEngine)
{
    ServiceTraits it;
    it.isEngine = isEngine;
    if (isEngine) {
        it.memoryTokens = 500000;
        it.readTokensPerMs = 40;
        it.transferMsPerToken = 0.001;
    }
    return it;
}

Work request(WorkId id, std::uint64_t beginning, Base::TimePoint now)
{
    Work work;
    work.id = id;
    work.customer = Base::CustomerId("c");
    work.arrivedAt = now;
    work.startBy = now + milliseconds(800);
    work.deadline = now + seconds(8);
    work.promptTokens = 3000;
    work.outputTokens = 100;
    work.parts = {{beginning, 2000}, {id * 7919, 1000}};
    return work;
}

/// The kinds of notices that servers give.
enum class Notices { Backoffs, Leaving };

/// One host before a few servers, some of which give notices. Checks each placement.
class NoticeModel
{
public:
    NoticeModel(Notices kind, bool isEngine, std::size_t count)
        : m_kind(kind)
        , m_listed(servers(count))
        , m_dispatcher(traits(isEngine), Base::ZoneId("near"))
    {
        m_dispatcher.setNotices(m_notices);
        m_dispatcher.setServers(m_listed);
    }

    void step()
    {
        m_now += milliseconds(*rc::gen::inRange(0, 120));
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
        case 2:
            submit(request(++m_last, *rc::gen::inRange(0U, 3U), m_now));
            break;
        case 3:
        case 4:
            finishOne();
            break;
        case 5:
            notice(m_listed[*rc::gen::inRange<std::size_t>(0, m_listed.size())].id);
            break;
        case 6:
            relist();
            break;
        default:
            check(m_dispatcher.advance(m_now));
        }
    }

private:
    void submit(Work work)
    {
        m_works[work.id] = work;
        check(m_dispatcher.submit(std::move(work), m_now));
    }

    void finishOne()
    {
        if (m_running.empty())
            return;
        const Placement placed = m_running.back();
        m_running.pop_back();
        const bool isServed = *rc::gen::arbitrary<bool>();
        check(m_dispatcher.finished(
            placed.work, isServed ? AttemptOutcome::Served : AttemptOutcome::NoRoom, m_now));
        if (isServed)
            return;
        notice(placed.server);
        Work again = m_works[placed.work];
        again.tried.push_back(placed.server);
        submit(std::move(again));
    }

    void notice(const Base::ServerId &server)
    {
        if (m_kind == Notices::Backoffs)
            m_notices.record(server, {milliseconds(*rc::gen::inRange(0, 3000)), false}, m_now);
        else
            m_notices.record(server, {{}, true}, m_now);
    }

    /// Removes one server's entry, or lists all again.
    void relist()
    {
        std::vector<RegisteredServer> some = m_listed;
        if (*rc::gen::arbitrary<bool>())
            some.erase(
                some.begin()
                + *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(some.size())));
        m_dispatcher.setServers(some);
    }

    void check(const Decisions &decisions)
    {
        for (const Placement &it : decisions.placements) {
            RC_ASSERT(m_notices.backoffLeft(it.server, m_now) == Base::Duration::zero());
            RC_ASSERT_FALSE(m_notices.isLeaving(it.server));
            // Nothing is fetched from it either: a fetch is work for it.
            RC_ASSERT(m_notices.backoffLeft(it.fetchFrom, m_now) == Base::Duration::zero());
            RC_ASSERT_FALSE(m_notices.isLeaving(it.fetchFrom));
            m_running.push_back(it);
        }
    }

    Notices m_kind;
    std::vector<RegisteredServer> m_listed;
    ServerNotices m_notices;
    Dispatcher m_dispatcher;
    std::map<WorkId, Work> m_works;
    std::vector<Placement> m_running;
    Base::TimePoint m_now = start;
    WorkId m_last = 0;
};

} // namespace

TEST_CASE("a server that backs this host off gets no requests", "[routing]")
{
    // Guards against requests to a server that has asked for a pause, on whichever way they come
    // there: first tries, retries, waiting requests, servers whose entries vanish and return.
    rc::prop("any requests, answers and readings of the servers", [] {
        NoticeModel model(Notices::Backoffs, *rc::gen::arbitrary<bool>(),
                          static_cast<std::size_t>(*rc::gen::inRange(1, 5)));
        const int steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i)
            model.step();
    });
}

TEST_CASE("a server that announces in an answer that it leaves gets no requests", "[routing]")
{
    // Guards against requests to a server that leaves, while its entry in the store is older.
    rc::prop("any requests, answers and readings of the servers", [] {
        NoticeModel model(Notices::Leaving, *rc::gen::arbitrary<bool>(),
                          static_cast<std::size_t>(*rc::gen::inRange(1, 5)));
        const int steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i)
            model.step();
    });
}

TEST_CASE("requests are rejected at once if all servers announce that they leave", "[routing]")
{
    // Guards against requests that wait until they are late for a server that never comes back.
    for (const bool isEngine : {true, false}) {
        ServerNotices notices;
        Dispatcher dispatcher(traits(isEngine), Base::ZoneId("near"));
        dispatcher.setNotices(notices);
        dispatcher.setServers(servers(2));
        for (const char *id : {"s0", "s1"})
            notices.record(Base::ServerId(id), {{}, true}, start);
        const Decisions decisions = dispatcher.submit(request(1, 1, start), start);
        REQUIRE(decisions.rejected.size() == 1);
        CHECK(decisions.rejected.front().reason == RejectionReason::NoServer);
    }
}

TEST_CASE("a server gets requests again when its backoff is over", "[routing]")
{
    // Guards against a server that is lost to this host after it has asked for a pause.
    for (const bool isEngine : {true, false}) {
        ServerNotices notices;
        Dispatcher dispatcher(traits(isEngine), Base::ZoneId("near"));
        dispatcher.setNotices(notices);
        dispatcher.setServers(servers(2));
        notices.record(Base::ServerId("s0"), {seconds(3), false}, start);
        std::map<Base::ServerId, int> early;
        std::map<Base::ServerId, int> late;
        for (WorkId id = 1; id <= 100; ++id) {
            const Base::TimePoint now = start + milliseconds(100) * id;
            const Decisions decisions = dispatcher.submit(request(id, id, now), now);
            REQUIRE(decisions.placements.size() == 1);
            ++(now < start + seconds(3) ? early : late)[decisions.placements.front().server];
            dispatcher.started(id, now);
            dispatcher.finished(id, AttemptOutcome::Served, now);
        }
        CHECK(early.count(Base::ServerId("s0")) == 0);
        CHECK(late[Base::ServerId("s0")] > 10);
    }
}

TEST_CASE("requests are rejected at once if all servers back this host off for too long",
          "[routing]")
{
    // Guards against requests that wait until they are late, and against callers who come back
    // again and again while no server wants requests.
    for (const bool isEngine : {true, false}) {
        ServerNotices notices;
        Dispatcher dispatcher(traits(isEngine), Base::ZoneId("near"));
        dispatcher.setNotices(notices);
        dispatcher.setServers(servers(2));
        notices.record(Base::ServerId("s0"), {seconds(3), false}, start);
        notices.record(Base::ServerId("s1"), {seconds(5), false}, start);
        const Decisions decisions = dispatcher.submit(request(1, 1, start), start);
        REQUIRE(decisions.rejected.size() == 1);
        CHECK(decisions.rejected.front().reason == RejectionReason::BackedOff);
        CHECK(decisions.rejected.front().retryAfter == seconds(3));
        CHECK(dispatcher.backoffRetryAfter(start + seconds(1)) == seconds(2));
        CHECK(dispatcher.backoffRetryAfter(start + seconds(3)) == seconds(0));
    }
}

TEST_CASE("waiting requests are rejected as soon as no server wants them in time", "[routing]")
{
    // Guards against requests that wait in vain: they were accepted before the last server backed
    // this host off or announced that it leaves.
    for (const ServerNotice &last : {ServerNotice{seconds(3), false}, ServerNotice{{}, true}}) {
        ServerNotices notices;
        Dispatcher dispatcher(traits(true), Base::ZoneId("near"));
        dispatcher.setNotices(notices);
        dispatcher.setServers(servers(1));
        for (WorkId id = 1; dispatcher.waiting() == 0; ++id)
            REQUIRE(dispatcher.submit(request(id, id, start), start).rejected.empty());
        const std::size_t waiting = dispatcher.waiting();
        notices.record(Base::ServerId("s0"), last, start);
        const Decisions decisions = dispatcher.advance(start + milliseconds(1));
        CHECK(decisions.rejected.size() == waiting);
        CHECK(dispatcher.waiting() == 0);
    }
}

TEST_CASE("a request waits for a backoff that ends in time", "[routing]")
{
    // Guards against refusals beside servers that want requests again in a moment.
    ServerNotices notices;
    Dispatcher dispatcher(traits(true), Base::ZoneId("near"));
    dispatcher.setNotices(notices);
    dispatcher.setServers(servers(1));
    notices.record(Base::ServerId("s0"), {milliseconds(100), false}, start);
    CHECK(dispatcher.submit(request(1, 1, start), start).rejected.empty());
    CHECK(dispatcher.waiting() == 1);
    CHECK(dispatcher.advance(start + milliseconds(99)).placements.empty());
    CHECK(dispatcher.advance(start + milliseconds(100)).placements.size() == 1);
}

TEST_CASE("servers that want no requests do not shorten the wait that is expected", "[routing]")
{
    // Guards against requests that wait behind others for a pool that is reckoned at its full size
    // while most of its servers back this host off.
    const auto rejectedOf = [](std::size_t backedOff) {
        ServerNotices notices;
        Dispatcher dispatcher(traits(true), Base::ZoneId("near"));
        dispatcher.setNotices(notices);
        dispatcher.setServers(servers(4));
        for (std::size_t i = 0; i < backedOff; ++i)
            notices.record(Base::ServerId("s" + std::to_string(i)), {seconds(30), false}, start);
        std::size_t rejected = 0;
        for (WorkId id = 1; id <= 60; ++id)
            rejected += dispatcher.submit(request(id, id, start), start).rejected.size();
        return std::pair(rejected, dispatcher.waiting());
    };
    const auto [rejectedByOne, waitingForOne] = rejectedOf(3);
    const auto [rejectedByAll, waitingForAll] = rejectedOf(0);
    CHECK(rejectedByOne > rejectedByAll);
    // What waits is what the servers that want requests can begin in time.
    CHECK(waitingForOne * 3 <= waitingForAll + 3);
}
