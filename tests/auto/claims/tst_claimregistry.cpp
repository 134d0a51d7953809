#include "claimfleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace Claims;
using namespace ClaimFleet;

namespace {

/// Gives each router random faults: of its connection to the table, a freeze, or a crash.
void injectFaults(Fleet &fleet)
{
    Base::SeededRandom &random = fleet.random;
    for (const auto &it : fleet.routers) {
        const Base::Duration delays[] = {5ms, 100ms, 1500ms, 6000ms};
        const std::uint64_t kind = random.next() % 6;
        it->below.faults = {};
        it->below.faults.longestDelay = delays[random.next() % (kind == 0 ? 4 : 2)];
        if (kind == 1)
            it->below.faults.answerLost = 50;
        if (kind == 2)
            it->below.faults.refused = 100;
        if (kind == 3)
            it->below.faults = {20, 20, 20, 20, 1500ms};
        if (random.next() % 12 == 0)
            it->frozenUntil = fleet.now + std::chrono::seconds(random.next() % 150);
        if (random.next() % 30 == 0)
            it->isCrashed = true;
    }
}

/// Returns a policy whose leases often expire within a test.
ClaimPolicy shortLease()
{
    ClaimPolicy policy;
    policy.lease = 6s;
    return policy;
}

/// Makes claims with few keys at random routers under random faults, then lets all claims settle.
void runRandomLoad(Fleet &fleet, std::size_t requests)
{
    for (std::size_t i = 0; i < requests; ++i) {
        if (i % 4 == 0)
            injectFaults(fleet);
        const std::string key = "k" + std::to_string(fleet.random.next() % 6);
        const std::uint64_t hash = fleet.random.next() % 5 == 0 ? 2 : 1;
        // Half of the calls are repeated at once, usually at another router.
        for (std::size_t n = 1 + fleet.random.next() % 2; n > 0; --n) {
            Router &router = fleet.router(fleet.random.next() % fleet.routers.size());
            if (!router.isCrashed && router.frozenUntil <= fleet.now)
                router.claim(key, hash, fleet.now);
        }
        fleet.run(std::chrono::milliseconds(fleet.random.next() % 3000));
    }
    for (const auto &it : fleet.routers)
        it->below.faults = {};
    fleet.run(300s, 50ms);
}

bool nothingRan(ClaimVerdict verdict)
{
    return verdict != ClaimVerdict::Claimed;
}

} // namespace

// Guards against work that runs twice, and against callers that are told that their work did not
// run although it did. This would happen if a key had two owners. Duplicates reach several routers;
// calls of the table are lost, delayed and doubled; routers freeze past their leases and crash.
TEST_CASE("each key runs at most once, and every verdict is true")
{
    rc::prop("under single and combined faults", [](std::uint64_t seed) {
        Fleet fleet(seed, 3, shortLease());
        for (const auto &it : fleet.routers) {
            it->skew = std::chrono::milliseconds(fleet.random.next() % 3000);
            it->freezeBeforeSend = 60s;
        }
        runRandomLoad(fleet, 40);
        std::map<std::string, int> runs;
        std::map<std::string, std::uint64_t> fences;
        std::set<Base::RequestKey> sent;
        for (const SentCall &it : fleet.sentCalls) {
            RC_ASSERT(it.fence > fences[it.key]);
            fences[it.key] = it.fence;
            sent.insert(it.request);
            runs[it.key] += it.hasRun ? 1 : 0;
            RC_ASSERT(runs[it.key] <= 1);
        }
        std::set<Base::RequestKey> decidedRequests;
        for (const Verdict &it : fleet.verdicts) {
            RC_ASSERT(decidedRequests.insert(it.outcome.request).second);
            if (nothingRan(it.outcome.verdict))
                RC_ASSERT(!sent.contains(it.outcome.request));
            if (it.outcome.verdict == ClaimVerdict::Completed)
                RC_ASSERT(it.outcome.answer
                          == it.subject.key + std::to_string(it.subject.contentHash));
        }
    });
}

// Guards against a key that stays taken until the end of its retention although its work was never
// sent. This would happen if a claim that timed out on a slow table later created a row that its
// writer no longer releases.
TEST_CASE("a key that never ran is free again once the table is back")
{
    rc::prop("unless its owner crashed", [](std::uint64_t seed) {
        Fleet fleet(seed, 3, shortLease());
        runRandomLoad(fleet, 25);
        std::set<std::string> sentKeys;
        for (const SentCall &it : fleet.sentCalls)
            sentKeys.insert(it.key);
        for (const auto &it : fleet.routers) {
            RC_ASSERT((it->isCrashed || it->registry.unsettled() == 0U));
            if (it->isCrashed)
                return;
        }
        for (const char *key : {"k0", "k1", "k2", "k3", "k4", "k5"}) {
            if (!sentKeys.contains(key))
                RC_ASSERT(fleet.ask(0, key).verdict == ClaimVerdict::Claimed);
        }
    });
}

// Guards against a crash of a router during an outage of the table. The circuit breaker opens,
// closes and opens again while a probe read of the gateway is in flight. The second probe had the
// id of the first, so the completion of one id was looked up twice.
TEST_CASE("an intermittent outage does not crash a router")
{
    Fleet fleet(675505802189U, 3, shortLease());
    CHECK_NOTHROW(runRandomLoad(fleet, 25));
}

// Guards against work that is sent after its claim has expired. The router freezes with a granted
// permit and resumes after the end of its lease, when other callers have already been told that
// the work may or may not have run.
TEST_CASE("a holder frozen past its lease does not send on resuming")
{
    Fleet fleet(1);
    const Base::RequestKey request = fleet.router(0).claim("k", 1, fleet.now);
    fleet.run(50ms);
    REQUIRE(fleet.router(0).registry.maySend(request, fleet.now));
    REQUIRE(fleet.sentCalls.empty());
    fleet.router(0).frozenUntil = fleet.now + 70s;
    fleet.run(67s);
    CHECK(fleet.ask(1, "k").verdict == ClaimVerdict::Indeterminate);
    CHECK(fleet.ask(1, "k", 2).verdict == ClaimVerdict::Conflict);
    fleet.run(10s);
    CHECK(fleet.sentCalls.empty());
    CHECK_FALSE(fleet.router(0).registry.maySend(request, fleet.now));
    CHECK(fleet.ask(1, "k").verdict == ClaimVerdict::Claimed);
}

TEST_CASE("a claim is renewed while its request waits")
{
    Fleet fleet(1);
    fleet.router(0).longestWait = 400s;
    const Base::RequestKey request = fleet.router(0).claim("k", 1, fleet.now);
    fleet.run(100s);
    REQUIRE(fleet.router(0).isOpen(request));
    CHECK(fleet.router(0).registry.maySend(request, fleet.now));
    CHECK(fleet.ask(1, "k").verdict == ClaimVerdict::InProgress);
}

TEST_CASE("a repeat of a completed call gets the stored answer or the reason for its absence")
{
    ClaimPolicy policy;
    policy.largestAnswer = 10;
    Fleet fleet(1, 2, policy);
    Router &router = fleet.router(0);
    router.longestWait = 100s;
    const char *answers[] = {"short", "much too long", "\xff\xfe"};
    const ClaimVerdict verdicts[] = {ClaimVerdict::Completed, ClaimVerdict::CompletedUnstored,
                                     ClaimVerdict::CompletedUnstored};
    for (std::size_t i = 0; i < 3; ++i) {
        const std::string key = std::to_string(i);
        const Base::RequestKey request = router.claim(key, 1, fleet.now);
        fleet.run(50ms);
        router.registry.complete(request, answers[i], fleet.now);
        fleet.run(50ms);
        const ClaimOutcome outcome = fleet.ask(1, key);
        CHECK(outcome.verdict == verdicts[i]);
        CHECK(outcome.answer == (i == 0 ? answers[0] : ""));
        CHECK(fleet.ask(1, key, 2).verdict == ClaimVerdict::Conflict);
    }
}

// While the table is down, a caller is refused without delay.
TEST_CASE("a claim is unavailable at once while the table is down")
{
    Fleet fleet(1);
    fleet.router(0).below.faults.refused = 100;
    for (int i = 0; i < 10; ++i)
        fleet.ask(0, "k" + std::to_string(i));
    const Base::RequestKey request = fleet.router(0).claim("k", 1, fleet.now);
    fleet.run(20ms);
    REQUIRE(fleet.outcome(request));
    CHECK(fleet.outcome(request)->verdict == ClaimVerdict::Unavailable);
    CHECK(fleet.sentCalls.empty());
}

TEST_CASE("arbitrary bytes in a row give a typed outcome")
{
    rc::prop("random bytes and a damaged row", [](const std::string &bytes, std::uint64_t seed) {
        Fleet fleet(1);
        const std::string key = claimKey({Base::CustomerId("c"), "k", 1});
        fleet.table.rows[key] = {key, bytes, 7};
        RC_ASSERT(fleet.ask(0, "k").verdict == ClaimVerdict::Indeterminate);
        // A valid row with one changed byte.
        std::string text = encodeClaim({});
        text[seed % text.size()] = static_cast<char>(seed >> 32);
        fleet.table.rows[key].value = text;
        fleet.table.rows[key].version = 8;
        RC_ASSERT(fleet.ask(0, "k").request.serial != 0U);
    });
}

TEST_CASE("subjects with similar names have different keys")
{
    CHECK(claimKey({Base::CustomerId("a/b"), "c", 0})
          != claimKey({Base::CustomerId("a"), "b/c", 0}));
}

// The claims of a surge share the writes of the table, also if many of them repeat one key.
TEST_CASE("claims share writes, and one taken key adds few calls")
{
    struct Cost
    {
        std::size_t writes = 0;
        std::size_t reads = 0;
    };
    const auto costOf = [](std::size_t claims, std::size_t taken) {
        Fleet fleet(1, 2);
        fleet.ask(1, "k0");
        Router &router = fleet.router(0);
        router.longestWait = 100s;
        for (std::size_t i = 0; i < claims; ++i)
            router.claim("k0", 1, fleet.now, "c" + (i < taken ? "" : std::to_string(i)));
        fleet.run(1s);
        std::size_t owned = 0;
        for (const Verdict &it : fleet.verdicts)
            owned += it.outcome.verdict == ClaimVerdict::Claimed ? 1 : 0;
        CHECK(owned == claims - taken + 1);
        return Cost{router.below.writeCalls, router.below.readCalls};
    };
    // The first claim is sent alone at once, the others in batches of 32.
    CHECK(costOf(1, 0).writes == 1);
    CHECK(costOf(34, 0).writes == 1 + 2);
    CHECK(costOf(130, 0).writes == 1 + 5);
    CHECK(costOf(514, 0).writes == 1 + 17);
    // With one taken key, the rows of its batch are read, and the free ones are written again.
    CHECK(costOf(34, 1).writes <= 1 + 2 + 1);
    CHECK(costOf(34, 1).reads <= 33);
    CHECK(costOf(130, 1).writes <= 1 + 5 + 1);
}

// In a large fleet a router may write only every 1.4 s. If a batch were closed before it can be
// sent, the claims of those 1.4 s would have to wait for the next write.
TEST_CASE("claims are gathered until the next write may be sent")
{
    Fleet fleet(1, 1);
    Router &router = fleet.router(0);
    router.longestWait = 100s;
    router.gateway->setFleetSize(420);
    for (int i = 0; i < 4; ++i) {
        router.claim("burst" + std::to_string(i), 1, fleet.now);
        fleet.run(100ms);
    }
    for (int i = 0; i < 10; ++i) {
        router.claim(std::to_string(i), 1, fleet.now);
        fleet.run(80ms);
    }
    fleet.run(500ms);
    CHECK(router.below.writeCalls == 4 + 1);
    CHECK(fleet.verdicts.size() == 4 + 10);
}

// Guards against one customer, whose client repeats its calls in a loop, causing the calls of other
// customers to be refused. Each repeat could make a batch fail, and its read could delay the reads
// of others.
TEST_CASE("a flood of repeats by one customer does not delay other customers")
{
    Fleet fleet(1, 2);
    fleet.router(1).longestWait = 1000s;
    for (int i = 0; i < 400; ++i) {
        fleet.router(1).claim("taken" + std::to_string(i), 1, fleet.now);
        fleet.run(10ms);
    }
    Router &router = fleet.router(0);
    router.longestWait = 1s;
    router.gateway->setFleetSize(420);
    std::vector<Base::RequestKey> others;
    std::size_t foreignReads = 0;
    for (int i = 0; i < 600; ++i) {
        for (int n = 0; n < 20; ++n)
            router.claim("taken" + std::to_string((i * 20 + n) % 400), 1, fleet.now);
        if (i % 20 == 0)
            others.push_back(router.claim(std::to_string(i), 1, fleet.now, "other"));
        if (i % 100 == 99) // A read of the configuration.
            router.gateway->read(1'000'000 + ++foreignReads, "head");
        fleet.run(50ms);
        CHECK(router.registry.undecided() <= ClaimPolicy().largestUndecided + 5);
    }
    fleet.run(10s);
    CHECK(fleet.verdicts.size() == 400 + 12000 + 30);
    const auto claimed = std::count_if(others.begin(), others.end(), [&](const auto &request) {
        return fleet.outcome(request)->verdict == ClaimVerdict::Claimed;
    });
    CHECK(claimed == 30);
    CHECK(router.otherCallsDone == foreignReads);
}
