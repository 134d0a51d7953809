#include "storage/tablegateway.h"

#include "support/faultytable.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace Storage;
using namespace std::chrono_literals;

namespace {

struct Bench
{
    explicit Bench(std::uint64_t seed, const TableGatewayPolicy &policy = {})
        : below(table, seed)
        , random(seed)
        , gateway(std::move(*TableGateway::create(policy, below, random)))
    {}

    void step()
    {
        now += 10ms;
        for (const TableOutcome &outcome : below.step(now))
            gateway->handle(outcome, now);
        gateway->advance(now);
        for (const TableOutcome &outcome : gateway->takeOutcomes()) {
            ends[outcome.operation].push_back(outcome);
            waits[outcome.operation] = now - begun[outcome.operation];
        }
    }

    void run(Base::Duration duration)
    {
        for (const Base::TimePoint end = now + duration; now < end;)
            step();
    }

    OperationId write(const std::string &key, std::optional<RowVersion> expected)
    {
        const OperationId id = ids.next();
        begun[id] = now;
        gateway->transact(id, {{key, std::to_string(id), expected}});
        return id;
    }

    OperationId read()
    {
        const OperationId id = ids.next();
        begun[id] = now;
        gateway->read(id, "k");
        return id;
    }

    TableStatus status(OperationId id) { return ends.at(id).front().status; }

    Fakes::Table table;
    Fakes::FaultyTable below;
    Base::SeededRandom random;
    std::unique_ptr<TableGateway> gateway;
    OperationIds ids;
    Base::TimePoint now{};
    std::map<OperationId, Base::TimePoint> begun;
    std::map<OperationId, Base::Duration> waits;
    std::map<OperationId, std::vector<TableOutcome>> ends;
};

} // namespace

// A caller is told that its call was not run, and it ran; or its one call ends twice.
// The table loses, delays and doubles requests and answers; a write takes effect long after
// its timeout. The cause would be a retry or a guess where the truth is not known.
TEST_CASE("one outcome for each call, and none is a lie")
{
    rc::prop("under loss, delay and doubling", [](std::uint64_t seed) {
        Bench bench(seed);
        std::vector<OperationId> writes;
        for (int i = 0; i < 60; ++i) {
            if (i % 10 == 0) {
                const Base::Duration delays[] = {5ms, 300ms, 1500ms, 4000ms};
                bench.below.faults = {bench.random.next() % 40, bench.random.next() % 30,
                                      bench.random.next() % 30, bench.random.next() % 40,
                                      delays[bench.random.next() % 4]};
            }
            const std::string key = "k" + std::to_string(bench.random.next() % 20);
            writes.push_back(bench.write(key, absentRow));
            bench.read();
            bench.run(std::chrono::milliseconds(bench.random.next() % 8 * 50));
        }
        bench.run(15s);
        const auto &written = bench.below.written;
        for (const auto &[id, begun] : bench.begun) {
            RC_ASSERT(bench.ends[id].size() == 1U);
            RC_ASSERT(bench.waits[id] <= 2000ms + 800ms + 20ms);
        }
        for (const OperationId id : writes) {
            const auto n = std::count(written.begin(), written.end(), std::to_string(id));
            RC_ASSERT(n <= 1);
            if (bench.status(id) == TableStatus::Done)
                RC_ASSERT(n == 1);
            if (bench.status(id) == TableStatus::Conflict
                || bench.status(id) == TableStatus::NotDone)
                RC_ASSERT(n == 0);
        }
    });
}

// Every caller of work that needs the table waits for a whole timeout, during an hour's outage,
// one after another. The cause would be that nothing remembers the last failures.
TEST_CASE("an outage answers at once and ends soon after the table is back")
{
    Bench bench(7);
    bench.below.faults.requestLost = 100;
    for (int i = 0; i < 30; ++i) {
        bench.read();
        bench.write("k", std::nullopt);
        bench.run(100ms);
    }
    bench.run(60s);
    const OperationId read = bench.read();
    const OperationId write = bench.write("k", std::nullopt);
    bench.step();
    CHECK(bench.status(read) == TableStatus::NotDone);
    CHECK(bench.status(write) == TableStatus::NotDone);
    CHECK(bench.waits[write] <= 10ms);

    bench.below.faults = {};
    bench.run(13s);
    const OperationId again = bench.write("k", std::nullopt);
    bench.run(100ms);
    CHECK(bench.status(again) == TableStatus::Done);
    const OperationId second = bench.read();
    bench.run(100ms);
    CHECK(bench.status(second) == TableStatus::Done);
}

// The table is back, but a router's calls fail until it is restarted: its one trial was held
// back by the rate, and the breaker waited for the answer to a call that never left.
TEST_CASE("a trial that the rate holds back is made later")
{
    LanePolicy policy;
    policy.burst = 1;
    policy.breaker.failuresToOpen = 1;
    OperationIds ids;
    Base::SeededRandom random(1);
    CallLane lane(CallKind::Write, policy, ids, random);
    lane.setRate(0.7);
    const Base::TimePoint start{};
    lane.add(1);
    lane.advance(start, true);
    lane.finishAttempt(lane.takeAttempts().at(0).attempt, AttemptEnd::NotDone, start);
    lane.add(2); // A trial is due, the next call only after 1.43 s.
    lane.advance(start + 800ms, true);
    CHECK(lane.takeAttempts().empty());
    CHECK(lane.takeEnds().size() == 2);
    lane.add(3);
    lane.advance(start + 2s, true);
    REQUIRE(lane.takeAttempts().size() == 1);
}

// A burst at 8 daemons' callers makes the table refuse everybody. Each daemon may use its
// share only; what can't leave in time was never sent, and its caller is told so.
TEST_CASE("a burst leaves at the daemon's share of the rate, the rest ends as not done")
{
    Bench bench(7);
    bench.gateway->setFleetSize(8);
    for (int i = 0; i < 1000; ++i)
        bench.write("k", std::nullopt);
    bench.run(5s);
    // 300 / 8 a second for the two seconds that a call may wait, and the burst of 4.
    CHECK(bench.below.writeCalls <= 79U);
    CHECK(bench.below.writeCalls >= 73U);
    std::size_t done = 0;
    for (const auto &[id, ends] : bench.ends) {
        REQUIRE(ends.size() == 1U);
        CHECK((ends.front().status == TableStatus::Done
               || ends.front().status == TableStatus::NotDone));
        done += ends.front().status == TableStatus::Done ? 1 : 0;
    }
    CHECK(bench.ends.size() == 1000U);
    CHECK(done == bench.below.writeCalls);
}

// The table answers after 700 ms each: without a bound, calls of a busy daemon pile up there.
TEST_CASE("a slow table meets a bounded number of calls")
{
    TableGatewayPolicy policy;
    policy.writes.burst = 100;
    Bench bench(7, policy);
    bench.below.faults.longestDelay = 350ms;
    std::size_t most = 0;
    for (int i = 0; i < 300; ++i) {
        bench.write("k", std::nullopt);
        bench.step();
        most = std::max(most, bench.gateway->writes().inFlight());
    }
    CHECK(most == policy.writes.largestInFlight);
}

TEST_CASE("a policy that lets nothing through is refused")
{
    Fakes::Table table;
    Fakes::FaultyTable below(table, 1);
    Base::SeededRandom random(1);
    TableGatewayPolicy policy;
    policy.writes.largestInFlight = 0;
    CHECK_FALSE(TableGateway::create(policy, below, random));
}
