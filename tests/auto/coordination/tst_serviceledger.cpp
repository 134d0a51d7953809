#include "coordination/serviceledger.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>
#include <memory>

namespace {

using namespace std::chrono_literals;
using Coordination::LedgerDelta;
using Coordination::LedgerPolicy;
using Coordination::ServiceLedger;

const Base::PoolId pool("model/m");
constexpr std::size_t customerCount = 4;

Base::CustomerId customer(std::size_t i)
{
    return Base::CustomerId("c" + std::to_string(i));
}

std::unique_ptr<ServiceLedger> makeLedger(const std::string &host, Base::Incarnation incarnation)
{
    LedgerPolicy policy;
    policy.foldAfter = 20s;
    policy.foldedRetention = 1000s;
    auto ledger = ServiceLedger::create(policy, Base::HostId(host), incarnation, pool);
    return std::make_unique<ServiceLedger>(std::move(*ledger));
}

/// Several home routers of one pool and a network that loses, duplicates, delays and reorders
/// messages.
class Fleet
{
public:
    explicit Fleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            restart(i);
    }

    void restart(std::size_t i)
    {
        if (ledgers.size() <= i)
            ledgers.resize(i + 1);
        ledgers[i] = makeLedger("r" + std::to_string(i), ++m_incarnation);
        ledgers[i]->advance(now);
    }

    void send(std::size_t from)
    {
        if (const auto delta = ledgers[from]->takeDelta())
            broadcast(from, *delta);
    }

    void broadcast(std::size_t from, const LedgerDelta &delta)
    {
        for (std::size_t to = 0; to < ledgers.size(); ++to) {
            if (to != from)
                network.emplace_back(to, delta);
        }
    }

    void deliver(std::size_t at)
    {
        const auto [to, delta] = network[at];
        if (ledgers[to]->merge(delta) == Coordination::MergeResult::SenderIsFolded)
            broadcast(to, ledgers[to]->snapshot());
    }

    /// Delivers each router's snapshot to all others, in three rounds.
    void exchangeAll()
    {
        network.clear();
        for (int round = 0; round < 3; ++round) {
            for (std::size_t i = 0; i < ledgers.size(); ++i)
                broadcast(i, ledgers[i]->snapshot());
            while (!network.empty()) {
                deliver(0);
                network.pop_front();
            }
        }
    }

    void advanceAll(Base::Duration time)
    {
        now += time;
        for (auto &ledger : ledgers)
            ledger->advance(now);
    }

    std::vector<std::unique_ptr<ServiceLedger>> ledgers;
    std::deque<std::pair<std::size_t, LedgerDelta>> network;
    Base::TimePoint now{1s};

private:
    Base::Incarnation m_incarnation = 0;
};

/// Runs one random step of the fleet and adds its charges to \a charged.
void step(Fleet &fleet, std::vector<Base::ServiceUnits> &charged)
{
    const auto at = *rc::gen::inRange<std::size_t>(0, fleet.ledgers.size());
    const auto id = *rc::gen::inRange<std::size_t>(0, customerCount);
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        fleet.restart(at);
        break;
    case 1:
        fleet.advanceAll(std::chrono::seconds(*rc::gen::inRange(1, 30)));
        break;
    case 2:
        fleet.broadcast(at, fleet.ledgers[at]->snapshot());
        break;
    case 3:
    case 4:
        fleet.send(at);
        break;
    case 5:
    case 6:
    case 7:
        if (!fleet.network.empty())
            fleet.deliver(*rc::gen::inRange<std::size_t>(0, fleet.network.size()));
        break;
    case 8:
        if (!fleet.network.empty())
            fleet.network.erase(fleet.network.begin()
                                + *rc::gen::inRange<long>(0, long(fleet.network.size())));
        break;
    default: {
        const auto units = *rc::gen::inRange<Base::ServiceUnits>(1, 500);
        fleet.ledgers[at]->charge(customer(id), units);
        charged[id] += units;
    }
    }
}

} // namespace

// Guards against counting a charge twice: a home router dies or is cut off, its peers fold its
// counters, and then a delayed message from it arrives or the router returns. A customer charged
// twice would be held back for service that it never received.
TEST_CASE("no charge is counted twice, whatever happens to messages and routers", "[ledger]")
{
    rc::prop("positions never exceed what was charged, and agree after an exchange", [] {
        Fleet fleet(3);
        std::vector<Base::ServiceUnits> charged(customerCount, 0);
        const int steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i) {
            step(fleet, charged);
            for (std::size_t id = 0; id < customerCount; ++id) {
                for (const auto &ledger : fleet.ledgers)
                    RC_ASSERT(ledger->position(customer(id)) <= charged[id]);
            }
        }
        fleet.exchangeAll();
        for (std::size_t id = 0; id < customerCount; ++id) {
            const Base::ServiceUnits first = fleet.ledgers[0]->position(customer(id));
            RC_ASSERT(first <= charged[id]);
            for (const auto &ledger : fleet.ledgers)
                RC_ASSERT(ledger->position(customer(id)) == first);
        }
    });
}

// Guards against lost charges: while no router is lost, every charge is known at every router
// after an exchange, even if earlier deltas were lost, duplicated or reordered.
TEST_CASE("all that live routers charged is seen everywhere after an exchange", "[ledger]")
{
    rc::prop("positions equal the charges", [] {
        Fleet fleet(3);
        std::vector<Base::ServiceUnits> charged(customerCount, 0);
        const auto charges = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, int(customerCount)),
                           rc::gen::inRange(1, 900)));
        for (const auto &[at, id, units] : charges) {
            fleet.ledgers[at]->charge(customer(id), units);
            charged[id] += units;
            if (units % 2 == 0)
                fleet.send(at);
            if (units % 3 == 0 && !fleet.network.empty())
                fleet.deliver(units % fleet.network.size());
        }
        fleet.exchangeAll();
        for (std::size_t id = 0; id < customerCount; ++id) {
            for (const auto &ledger : fleet.ledgers)
                RC_ASSERT(ledger->position(customer(id)) == charged[id]);
        }
    });
}

// Guards against a returning customer that takes the whole pool: with the low position from
// before its idle time it would be served alone until it had caught up with the others.
TEST_CASE("a customer that comes back starts at the floor, dropped or not", "[ledger]")
{
    const bool isDropped = GENERATE(false, true);
    Fleet fleet(2);
    ServiceLedger &home = *fleet.ledgers[0];
    home.charge(customer(0), 100);
    home.becomeBacklogged(customer(1), {});
    home.charge(customer(1), 50000);
    home.clampDebts({customer(1)});
    fleet.exchangeAll();
    if (isDropped) {
        fleet.advanceAll(11min);
        REQUIRE(home.customers() < 2);
    }
    home.becomeBacklogged(customer(0), {customer(1)});
    CHECK(home.position(customer(0)) == home.position(customer(1)));
    home.charge(customer(0), 70);
    fleet.exchangeAll();
    // The peer counts the new charge once, whether it kept the old entry or dropped it as well.
    CHECK(fleet.ledgers[1]->position(customer(0)) == 50070);
}

// Guards against a lost charge: a home drops an idle customer and adds it again at a lower
// position while its peer has kept the old entry. If the peer took the new, smaller counter for
// an old value of the same counter, the charge would be lost.
TEST_CASE("counts after a dropped entry's return are not taken for old ones", "[ledger]")
{
    Fleet fleet(2);
    ServiceLedger &home = *fleet.ledgers[0];
    home.becomeBacklogged(customer(1), {});
    home.charge(customer(1), 50000);
    home.clampDebts({customer(1)});
    home.becomeBacklogged(customer(0), {customer(1)});
    home.charge(customer(0), 500);
    home.charge(customer(1), 1000);
    home.clampDebts({customer(1)});
    fleet.exchangeAll();
    home.advance(fleet.now + 11min);
    REQUIRE(home.customers() == 0);
    LedgerDelta lower;
    lower.sender = Base::HostId("x");
    lower.pool = pool;
    lower.floor = 40000;
    home.merge(lower);
    home.becomeBacklogged(customer(0), {});
    fleet.exchangeAll();
    home.charge(customer(0), 270);
    fleet.exchangeAll();
    for (const auto &ledger : fleet.ledgers)
        CHECK(ledger->position(customer(0)) == 50500 + 270);
}

// Guards against starvation after a partition: two zones are disconnected for an hour and one
// customer is served in one of them only. After the rejoin its position is far ahead; without
// forgiveness it would wait until all others had caught up.
TEST_CASE("the debt after a rejoin is clamped once, at both sides", "[ledger]")
{
    Fleet fleet(2);
    const std::vector<Base::CustomerId> both{customer(0), customer(1)};
    fleet.ledgers[0]->charge(customer(0), 5'000'000);
    fleet.ledgers[1]->charge(customer(1), 1000);
    fleet.exchangeAll();
    for (auto &ledger : fleet.ledgers)
        ledger->clampDebts(both);
    fleet.exchangeAll();
    for (auto &ledger : fleet.ledgers) {
        CHECK(ledger->position(customer(1)) == 1000);
        CHECK(ledger->position(customer(0)) == 1000 + LedgerPolicy().maxDebt);
    }
}

// A router that takes over a home with an empty queue must know the floor of its peers, or a
// new customer would start too low.
TEST_CASE("a new customer at a home where nobody waits starts at the peers' floor", "[ledger]")
{
    Fleet fleet(2);
    ServiceLedger &peerLedger = *fleet.ledgers[0];
    peerLedger.charge(customer(0), 90000);
    peerLedger.charge(customer(1), 80000);
    peerLedger.clampDebts({customer(0), customer(1)});
    peerLedger.clampDebts({});
    fleet.send(0);
    fleet.deliver(0);
    fleet.ledgers[1]->becomeBacklogged(customer(2), {});
    CHECK(fleet.ledgers[1]->position(customer(2)) == 80000);
    fleet.advanceAll(2s);
    peerLedger.charge(customer(0), 1);
    CHECK(peerLedger.takeDelta()->floor == 0);
}

// A router that takes a shard over right after its start would otherwise see all customers at
// position zero.
TEST_CASE("a cold ledger requests and merges a peer's snapshot, then deltas of third routers",
          "[ledger]")
{
    Fleet fleet(3);
    fleet.advanceAll(21s);
    fleet.ledgers[0]->charge(customer(0), 400);
    fleet.ledgers[1]->charge(customer(0), 300);
    fleet.exchangeAll();
    fleet.restart(2);
    const auto asked = fleet.ledgers[2]->takeDelta();
    REQUIRE(asked);
    CHECK(asked->isSnapshotRequest);
    fleet.ledgers[2]->merge(fleet.ledgers[0]->snapshot());
    CHECK_FALSE(fleet.ledgers[2]->isCold());
    CHECK(fleet.ledgers[2]->position(customer(0)) == 700);
    fleet.ledgers[1]->charge(customer(0), 50);
    fleet.ledgers[2]->merge(*fleet.ledgers[1]->takeDelta());
    CHECK(fleet.ledgers[2]->position(customer(0)) == 750);
}

// There are 2,600 restarts a day, and each leaves a start behind whose counters nobody sends any
// more. Without folding the ledger would grow with each of them.
TEST_CASE("counters of dead starts are folded and forgotten in time", "[ledger]")
{
    Fleet fleet(3);
    for (int i = 0; i < 500; ++i) {
        fleet.restart(1);
        fleet.ledgers[1]->charge(customer(0), 10);
        fleet.ledgers[1]->charge(customer(1), 10);
        fleet.send(1);
        fleet.deliver(0);
        fleet.network.clear();
    }
    CHECK(fleet.ledgers[0]->position(customer(0)) == 5000);
    CHECK(fleet.ledgers[0]->liveStarts() == 1);
    CHECK(fleet.ledgers[0]->foldedStarts() == 1);
    fleet.advanceAll(30s);
    CHECK(fleet.ledgers[0]->liveStarts() == 0);
    CHECK(fleet.ledgers[0]->position(customer(0)) == 5000);
    fleet.advanceAll(1100s);
    CHECK(fleet.ledgers[0]->foldedStarts() == 0);
}

// Guards against a customer that gets one share per home: a large customer has work at every
// home, each other customer at one home only. With the exchange the large customer gets one
// share of the whole pool.
TEST_CASE("stale views add at most interval x rate to the gap, however long it lasts", "[ledger]")
{
    rc::prop("gap of service between two backlogged customers", [] {
        const auto homes = *rc::gen::inRange<std::size_t>(2, 5);
        const int interval = *rc::gen::inRange(1, 20);
        const auto charge = *rc::gen::inRange<Base::ServiceUnits>(10, 400);
        Fleet fleet(homes);
        std::vector<Base::ServiceUnits> charged(homes + 1, 0);
        Base::ServiceUnits bound = charge * homes * static_cast<Base::ServiceUnits>(interval + 1);
        for (int tick = 0; tick < 400; ++tick) {
            for (std::size_t home = 0; home < homes; ++home) {
                const bool isLarge = fleet.ledgers[home]->position(customer(0))
                                     <= fleet.ledgers[home]->position(customer(home + 1));
                const std::size_t id = isLarge ? 0 : home + 1;
                fleet.ledgers[home]->charge(customer(id), charge);
                charged[id] += charge;
            }
            for (std::size_t home = 0; tick % interval == 0 && home < homes; ++home)
                fleet.send(home);
            for (; !fleet.network.empty(); fleet.network.pop_front())
                fleet.deliver(0);
            // The large customer is compared with each other one; the others share no home.
            for (std::size_t id = 1; id <= homes; ++id) {
                RC_ASSERT(charged[0] <= charged[id] + bound);
            }
        }
    });
}
