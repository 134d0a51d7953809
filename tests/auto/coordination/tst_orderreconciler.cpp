#include "base/random.h"
#include "coordination/orderreconciler.h"
#include "support/manualtable.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <memory>

namespace {

using namespace std::chrono_literals;
using namespace Coordination;

const Base::ServerId server("s1");

struct SentOrder
{
    ModelOrder order;
    std::uint64_t fence = 0;
};

class Orders final : public ModelServerOrders
{
public:
    void send(const Base::ServerId &, const ModelOrder &order, std::uint64_t fence) override
    {
        sent.push_back({order, fence});
    }
    std::vector<SentOrder> sent;
};

struct Router
{
    Router(Fakes::Table &truth, const std::string &name, Base::Duration clockOffset)
        : table(truth)
        , offset(clockOffset)
        , book(*OrderBook::create({}, table, orders, operations, name))
    {
        book.setDuties({server}, 1);
    }
    Storage::OperationIds operations;
    Fakes::ManualTable table;
    Orders orders;
    Base::Duration offset;
    Base::TimePoint pausedUntil{};
    OrderBook book;
};

ModelOrder modelOrder(std::uint64_t number)
{
    return {OrderKind::LoadModel, "m" + std::to_string(number), ""};
}

/// Some routers that all believe to be on duty, one model server, one table.
class Placement
{
public:
    explicit Placement(std::uint64_t seed)
        : random(seed)
    {
        for (int i = 0; i < 3; ++i)
            routers.push_back(std::make_unique<Router>(truth, "r" + std::to_string(i), i * 7777s));
    }

    void want(std::uint64_t number)
    {
        truth.transact(0, {{desiredPrefix + server.value(),
                            encodeDesired({number, modelOrder(number)}), std::nullopt}});
    }

    std::uint64_t fenceInTable() const
    {
        const auto it = truth.rows.find(orderLeasePrefix + server.value());
        return it == truth.rows.end() ? 0 : decodeOrderLease(it->second.value)->fence;
    }

    bool chance(std::uint64_t percent) { return random.next() % 100 < percent; }

    void step(bool isFaulty)
    {
        now += 100ms;
        for (auto &router : routers) {
            if (isFaulty && router->table.waiting() > 0 && chance(30))
                router->table.land(0);
            if (isFaulty && now >= router->pausedUntil && chance(1))
                router->pausedUntil = now + std::chrono::seconds(random.next() % 30);
            if (now < router->pausedUntil)
                continue;
            while (router->table.waiting() > 0 && (!isFaulty || chance(60))) {
                const Fakes::Fate fate =
                    isFaulty ? Fakes::Fate(random.next() % 6) : Fakes::Fate::Answered;
                router->book.handle(router->table.end(0, fate), now + router->offset);
            }
            router->book.advance(now + router->offset);
            serve(*router, isFaulty);
            if (isFaulty && chance(5))
                router->table.flushLate();
        }
    }

    /// The server carries orders out at once; some answers are lost.
    void serve(Router &router, bool isFaulty)
    {
        for (const SentOrder &sent : std::exchange(router.orders.sent, {})) {
            isOverlapped = isOverlapped || sent.fence != fenceInTable();
            const auto [it, isNew] = byFence.emplace(sent.fence, sent.order);
            isFenceShared = isFenceShared || it->second != sent.order;
            ++served;
            loaded = sent.order;
            if (!isFaulty || chance(50))
                router.book.handle(OrderOutcome{server, sent.fence, OrderStatus::Done, 0ms},
                                   now + router.offset);
        }
    }

    Fakes::Table truth;
    std::vector<std::unique_ptr<Router>> routers;
    Base::SeededRandom random;
    Base::TimePoint now{1000s};
    std::map<std::uint64_t, ModelOrder> byFence;
    ModelOrder loaded;
    int served = 0;
    bool isOverlapped = false;
    bool isFenceShared = false;
};

} // namespace

// A router is paused with the lease in its hand, another takes over and loads a newer model;
// the first wakes and goes on where it was. The server would end with the old model, and an
// operator would see it loaded though nobody wants it.
TEST_CASE("no order is sent after another router has taken the lease", "[orders]")
{
    rc::prop("whatever is paused, lost or late, and whatever the clocks show", [] {
        Placement placement(*rc::gen::arbitrary<std::uint64_t>());
        std::uint64_t number = 0;
        for (int i = 0; i < 600; ++i) {
            if (i % 150 == 0)
                placement.want(++number);
            placement.step(true);
            RC_ASSERT(!placement.isOverlapped);
            RC_ASSERT(!placement.isFenceShared);
        }
        for (auto &router : placement.routers)
            router->pausedUntil = {};
        for (int i = 0; i < 400; ++i)
            placement.step(false);
        RC_ASSERT(placement.loaded == modelOrder(number));
        for (auto &router : placement.routers)
            RC_ASSERT(router->book.openOrders() == 0);
    });
}

// The lease was written, and its holder paused before it read the answer: long enough for
// another router to take over.
TEST_CASE("a lease counts from before its write, not from the answer", "[orders]")
{
    Placement placement(1);
    placement.want(1);
    Router &router = *placement.routers[0];
    Base::TimePoint now{1s};
    for (int i = 0; i < 2; ++i) {
        router.book.advance(now += 1s);
        router.book.handle(router.table.end(0, Fakes::Fate::Answered), now);
    }
    router.book.advance(now += 1s);
    REQUIRE(router.table.waiting() == 1);
    router.table.land(0);
    REQUIRE(placement.fenceInTable() == 1);
    now += 20s;
    router.book.handle(router.table.end(0, Fakes::Fate::Answered), now);
    router.book.advance(now);
    CHECK(router.orders.sent.empty());
}

TEST_CASE("an order that was carried out is not sent again by the next holder", "[orders]")
{
    Placement placement(1);
    placement.want(1);
    for (int i = 0; i < 1000; ++i)
        placement.step(false);
    CHECK(placement.served == 1);
}

// A model is wanted on many servers at once; the weight store turns away what is too much.
TEST_CASE("loads are paced for the whole fleet, and stop while the store says so", "[orders]")
{
    Fakes::Table truth;
    Router router(truth, "r", 0s);
    std::vector<Base::ServerId> servers;
    for (int i = 0; i < 20; ++i) {
        servers.emplace_back("s" + std::to_string(i));
        truth.transact(0, {{desiredPrefix + servers.back().value(),
                            encodeDesired({1, modelOrder(1)}), std::nullopt}});
    }
    router.book.setDuties(servers, 3);
    Base::TimePoint now{1s};
    const auto run = [&](Base::Duration length) {
        for (const Base::TimePoint end = now + length; now < end; now += 100ms) {
            router.book.advance(now);
            while (router.table.waiting() > 0)
                router.book.handle(router.table.end(0, Fakes::Fate::Answered), now);
        }
    };
    run(60s);
    CHECK(router.orders.sent.size() >= 9);
    CHECK(router.orders.sent.size() <= 11);
    const SentOrder last = router.orders.sent.back();
    for (const Base::ServerId &each : servers)
        router.book.handle(OrderOutcome{each, last.fence, OrderStatus::Limited, 30s}, now);
    const std::size_t before = router.orders.sent.size();
    run(29s);
    CHECK(router.orders.sent.size() == before);
}
