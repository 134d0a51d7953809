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
    policy.foldedLife = 1000s;
    auto ledger = ServiceLedger::create(policy, Base::HostId(host), incarnation, pool);
    return std::make_unique<ServiceLedger>(std::move(*ledger));
}

/// A few homes of one pool, and a network that loses, doubles, delays and reorders.
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

    /// Each router's books reach every other, twice over.
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

    void pass(Base::Duration time)
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

/// One random step of the fleet; charges are added to \a truth.
void step(Fleet &fleet, std::vector<Base::ServiceUnits> &truth)
{
    const auto at = *rc::gen::inRange<std::size_t>(0, fleet.ledgers.size());
    const auto who = *rc::gen::inRange<std::size_t>(0, customerCount);
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        fleet.restart(at);
        break;
    case 1:
        fleet.pass(std::chrono::seconds(*rc::gen::inRange(1, 30)));
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
        fleet.ledgers[at]->charge(customer(who), units);
        truth[who] += units;
    }
    }
}

} // namespace

// Two dealers compete. A home router dies, its counts are folded into its peers' sums, and an
// old message of it comes late, or it was only cut off and comes back. Were its counts added
// again, one dealer would be held back for service it never received.
TEST_CASE("no charge is counted twice, whatever happens to messages and routers", "[ledger]")
{
    rc::prop("positions never exceed what was charged, and agree after an exchange", [] {
        Fleet fleet(3);
        std::vector<Base::ServiceUnits> truth(customerCount, 0);
        const int steps = *rc::gen::inRange(1, 80);
        for (int i = 0; i < steps; ++i) {
            step(fleet, truth);
            for (std::size_t who = 0; who < customerCount; ++who) {
                for (const auto &ledger : fleet.ledgers)
                    RC_ASSERT(ledger->position(customer(who)) <= truth[who]);
            }
        }
        fleet.exchangeAll();
        for (std::size_t who = 0; who < customerCount; ++who) {
            const Base::ServiceUnits first = fleet.ledgers[0]->position(customer(who));
            RC_ASSERT(first <= truth[who]);
            for (const auto &ledger : fleet.ledgers)
                RC_ASSERT(ledger->position(customer(who)) == first);
        }
    });
}

// Without loss of routers nothing may be missing either: what was charged anywhere is seen
// everywhere after one exchange, though deltas were lost, doubled and reordered before.
TEST_CASE("all that live routers charged is seen everywhere after an exchange", "[ledger]")
{
    rc::prop("positions equal the truth", [] {
        Fleet fleet(3);
        std::vector<Base::ServiceUnits> truth(customerCount, 0);
        const auto charges = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, int(customerCount)),
                           rc::gen::inRange(1, 900)));
        for (const auto &[at, who, units] : charges) {
            fleet.ledgers[at]->charge(customer(who), units);
            truth[who] += units;
            if (units % 2 == 0)
                fleet.send(at);
            if (units % 3 == 0 && !fleet.network.empty())
                fleet.deliver(units % fleet.network.size());
        }
        fleet.exchangeAll();
        for (std::size_t who = 0; who < customerCount; ++who) {
            for (const auto &ledger : fleet.ledgers)
                RC_ASSERT(ledger->position(customer(who)) == truth[who]);
        }
    });
}

// A university that asked for nothing for an hour comes back beside one that worked all the
// time. With its old low count it would get the whole pool until it had caught up.
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
        fleet.pass(11min);
        REQUIRE(home.customers() < 2);
    }
    home.becomeBacklogged(customer(0), {customer(1)});
    CHECK(home.position(customer(0)) == home.position(customer(1)));
    home.charge(customer(0), 70);
    fleet.exchangeAll();
    // The peer, which kept the old entry or dropped it too, sees the new charge once.
    CHECK(fleet.ledgers[1]->position(customer(0)) == 50070);
}

// A home drops an idle dealer and takes it in again at a lower level, while its peer has kept
// the old entry. Were the new count taken for a part of the old one, it would vanish.
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

// Two zones lose each other for an hour; a dealer is served in one of them only. On rejoin its
// count is hours ahead: without forgiveness it would wait until all others have caught up.
TEST_CASE("the debt of a rejoin is clamped, at both sides, once", "[ledger]")
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
        CHECK(ledger->position(customer(0)) == 1000 + LedgerPolicy().largestDebt);
    }
}

// A takeover with an empty queue must know where the others' customers are by now.
TEST_CASE("a newcomer at a home where nobody waits starts at the floor of the others", "[ledger]")
{
    Fleet fleet(2);
    ServiceLedger &crowded = *fleet.ledgers[0];
    crowded.charge(customer(0), 90000);
    crowded.charge(customer(1), 80000);
    crowded.clampDebts({customer(0), customer(1)});
    crowded.clampDebts({});
    fleet.send(0);
    fleet.deliver(0);
    fleet.ledgers[1]->becomeBacklogged(customer(2), {});
    CHECK(fleet.ledgers[1]->position(customer(2)) == 80000);
    fleet.pass(2s);
    crowded.charge(customer(0), 1);
    CHECK(crowded.takeDelta()->floor == 0);
}

// A home takes a shard over just after its start and would see all customers at zero.
TEST_CASE("a cold ledger asks and takes a peer's books, then later deltas of third routers",
          "[ledger]")
{
    Fleet fleet(3);
    fleet.pass(21s);
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

// 2,600 restarts a day: each leaves a start behind whose counters nobody sends any more.
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
    fleet.pass(30s);
    CHECK(fleet.ledgers[0]->liveStarts() == 0);
    CHECK(fleet.ledgers[0]->position(customer(0)) == 5000);
    fleet.pass(1100s);
    CHECK(fleet.ledgers[0]->foldedStarts() == 0);
}

// A large dealer has work at every home, the others at one each. Homes that are fair on their
// own give the large one a share at each; with the exchange it gets one share in all.
TEST_CASE("stale views add at most interval x rate to the gap, however long it lasts", "[ledger]")
{
    rc::prop("gap of service between two backlogged customers", [] {
        const auto homes = *rc::gen::inRange<std::size_t>(2, 5);
        const int interval = *rc::gen::inRange(1, 20);
        const auto charge = *rc::gen::inRange<Base::ServiceUnits>(10, 400);
        Fleet fleet(homes);
        std::vector<Base::ServiceUnits> truth(homes + 1, 0);
        Base::ServiceUnits bound = charge * homes * static_cast<Base::ServiceUnits>(interval + 1);
        for (int tick = 0; tick < 400; ++tick) {
            for (std::size_t home = 0; home < homes; ++home) {
                const bool isLarge = fleet.ledgers[home]->position(customer(0))
                                     <= fleet.ledgers[home]->position(customer(home + 1));
                const std::size_t who = isLarge ? 0 : home + 1;
                fleet.ledgers[home]->charge(customer(who), charge);
                truth[who] += charge;
            }
            for (std::size_t home = 0; tick % interval == 0 && home < homes; ++home)
                fleet.send(home);
            for (; !fleet.network.empty(); fleet.network.pop_front())
                fleet.deliver(0);
            // The large customer against each other one; those share no home among themselves.
            for (std::size_t who = 1; who <= homes; ++who) {
                RC_ASSERT(truth[0] <= truth[who] + bound);
            }
        }
    });
}
