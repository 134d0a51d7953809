#include "claimfleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace Claims;
using namespace ClaimFleet;

namespace {

/// Random faults of the network and the routers; one or two at a time.
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

/// Leases that lapse often in the span of a test.
ClaimPolicy shortLease()
{
    ClaimPolicy policy;
    policy.lease = 6s;
    return policy;
}

void runRandomLoad(Fleet &fleet, std::size_t requests)
{
    for (std::size_t i = 0; i < requests; ++i) {
        if (i % 4 == 0)
            injectFaults(fleet);
        const std::string key = "k" + std::to_string(fleet.random.next() % 6);
        const std::uint64_t hash = fleet.random.next() % 5 == 0 ? 2 : 1;
        // Duplicates reach two routers at once.
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

// A deposit hold is made twice, or a buyer is told that it was not made and it was.
// Duplicates reach several routers; the table loses, delays and doubles; routers freeze past
// their leases and crash at any point. The cause would be a second owner of one key.
TEST_CASE("each key runs at most once, and no verdict lies")
{
    rc::prop("alone and together", [](std::uint64_t seed) {
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

// A caller's claim is refused while the table is slow; for a day after, every try with its key
// is told that it may have run. The cause would be a row whose writer has forgotten it.
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

// A router dies in an outage. The breaker opens, closes and opens again while the gateway's own
// read is under way; the second such read had the first one's id, and its end was looked up twice.
TEST_CASE("an outage that flaps kills no router")
{
    Fleet fleet(675505802189U, 3, shortLease());
    CHECK_NOTHROW(runRandomLoad(fleet, 25));
}

// A seller publishes a listing; the router freezes with the grant in its hands and wakes after
// its lease. Others were told that nothing is known; a publication now would surprise them.
TEST_CASE("a holder frozen past its lease does not send on waking")
{
    Fleet fleet(1);
    const Base::RequestKey request = fleet.router(0).claim("k", 1, fleet.now);
    fleet.run(50ms);
    REQUIRE(fleet.router(0).registry.maySend(request, fleet.now));
    REQUIRE(fleet.sentCalls.empty());
    fleet.router(0).frozenUntil = fleet.now + 70s;
    fleet.run(67s);
    CHECK(fleet.ask(1, "k").verdict == ClaimVerdict::Undecidable);
    CHECK(fleet.ask(1, "k", 2).verdict == ClaimVerdict::Conflict);
    fleet.run(10s);
    CHECK(fleet.sentCalls.empty());
    CHECK_FALSE(fleet.router(0).registry.maySend(request, fleet.now));
    CHECK(fleet.ask(1, "k").verdict == ClaimVerdict::Claimed);
}

TEST_CASE("a claim that waits long is renewed")
{
    Fleet fleet(1);
    fleet.router(0).longestWait = 400s;
    const Base::RequestKey request = fleet.router(0).claim("k", 1, fleet.now);
    fleet.run(100s);
    REQUIRE(fleet.router(0).isOpen(request));
    CHECK(fleet.router(0).registry.maySend(request, fleet.now));
    CHECK(fleet.ask(1, "k").verdict == ClaimVerdict::InProgress);
}

TEST_CASE("a repeat of a completed call gets its answer, or is told why not")
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

// The table is down when a deposit is asked for: the caller learns it at once.
TEST_CASE("with the table down a claim is unavailable at once")
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

TEST_CASE("any bytes in a row give a typed outcome")
{
    rc::prop("whatever they are", [](const std::string &bytes, std::uint64_t seed) {
        Fleet fleet(1);
        const std::string key = claimKey({Base::CustomerId("c"), "k", 1});
        fleet.table.rows[key] = {key, bytes, 7};
        RC_ASSERT(fleet.ask(0, "k").verdict == ClaimVerdict::Undecidable);
        // A whole row with one byte changed.
        std::string text = encodeClaim({});
        text[seed % text.size()] = static_cast<char>(seed >> 32);
        fleet.table.rows[key].value = text;
        fleet.table.rows[key].version = 8;
        RC_ASSERT(fleet.ask(0, "k").request.serial != 0U);
    });
}

TEST_CASE("subjects with alike names have different keys")
{
    CHECK(claimKey({Base::CustomerId("a/b"), "c", 0})
          != claimKey({Base::CustomerId("a"), "b/c", 0}));
}

// The claims of a surge, with one key that many callers repeat, share the writes of the table.
TEST_CASE("claims share writes, and one taken key costs few more")
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
    // One goes out alone at once, the rest in batches of 32.
    CHECK(costOf(1, 0).writes == 1);
    CHECK(costOf(34, 0).writes == 1 + 2);
    CHECK(costOf(130, 0).writes == 1 + 5);
    CHECK(costOf(514, 0).writes == 1 + 17);
    // One taken key: its batch is read, and what is free written again.
    CHECK(costOf(34, 1).writes <= 1 + 2 + 1);
    CHECK(costOf(34, 1).reads <= 33);
    CHECK(costOf(130, 1).writes <= 1 + 5 + 1);
}

// In a large fleet a router may write every 1.4 s. A batch closed before its time would leave
// the claims of those 1.4 s to the write after it.
TEST_CASE("claims gather until the next write may leave")
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

// One customer's client repeats its calls in a loop; the deposits of the others are refused.
// Each repeat spoils a batch, and its read keeps the others' reads waiting.
TEST_CASE("a flood of repeats by one customer holds up no other")
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
        if (i % 100 == 99) // The configuration's.
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
