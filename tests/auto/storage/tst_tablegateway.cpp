#include "storage/tablegateway.h"

#include "support/faultytable.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace Storage;
using namespace std::chrono_literals;

namespace {

/// A gateway in front of a faulty table, driven in steps of 10 ms.
struct GatewayFixture
{
    explicit GatewayFixture(std::uint64_t seed, const TableGatewayPolicy &policy = {})
        : service(table, seed)
        , random(seed)
        , gateway(std::move(*TableGateway::create(policy, service, random)))
    {}

    void step()
    {
        now += 10ms;
        for (const TableOutcome &outcome : service.step(now))
            gateway->handle(outcome, now);
        gateway->advance(now);
        for (const TableOutcome &outcome : gateway->takeOutcomes()) {
            outcomes[outcome.operation].push_back(outcome);
            durations[outcome.operation] = now - startTimes[outcome.operation];
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
        startTimes[id] = now;
        gateway->transact(id, {{key, std::to_string(id), expected}});
        return id;
    }

    OperationId read()
    {
        const OperationId id = ids.next();
        startTimes[id] = now;
        gateway->read(id, "k");
        return id;
    }

    TableStatus status(OperationId id) { return outcomes.at(id).front().status; }

    Fakes::Table table;
    Fakes::FaultyTable service;
    Base::SeededRandom random;
    std::unique_ptr<TableGateway> gateway;
    OperationIds ids;
    Base::TimePoint now{};
    std::map<OperationId, Base::TimePoint> startTimes;
    std::map<OperationId, Base::Duration> durations;
    std::map<OperationId, std::vector<TableOutcome>> outcomes;
};

} // namespace

// Guards against a call that is reported as not run although it ran, and against a call that
// ends twice. The table loses, delays and duplicates requests and answers, and a write may take
// effect long after its timeout. Retrying such a write, or guessing its result, would cause the
// failure.
TEST_CASE("each call has exactly one outcome, and the outcome is true")
{
    rc::prop("under loss, delay and duplication", [](std::uint64_t seed) {
        GatewayFixture fixture(seed);
        std::vector<OperationId> writes;
        for (int i = 0; i < 60; ++i) {
            if (i % 10 == 0) {
                const Base::Duration delays[] = {5ms, 300ms, 1500ms, 4000ms};
                fixture.service.faults = {fixture.random.next() % 40, fixture.random.next() % 30,
                                          fixture.random.next() % 30, fixture.random.next() % 40,
                                          delays[fixture.random.next() % 4]};
            }
            const std::string key = "k" + std::to_string(fixture.random.next() % 20);
            writes.push_back(fixture.write(key, absentRow));
            fixture.read();
            fixture.run(std::chrono::milliseconds(fixture.random.next() % 8 * 50));
        }
        fixture.run(15s);
        const auto &written = fixture.service.written;
        for (const auto &[id, startTime] : fixture.startTimes) {
            RC_ASSERT(fixture.outcomes[id].size() == 1U);
            RC_ASSERT(fixture.durations[id] <= 2000ms + 800ms + 20ms);
        }
        for (const OperationId id : writes) {
            const auto n = std::count(written.begin(), written.end(), std::to_string(id));
            RC_ASSERT(n <= 1);
            if (fixture.status(id) == TableStatus::Done)
                RC_ASSERT(n == 1);
            if (fixture.status(id) == TableStatus::Conflict
                || fixture.status(id) == TableStatus::NotDone)
                RC_ASSERT(n == 0);
        }
    });
}

// Guards against callers that wait for a whole timeout each during a long outage of the table. This
// happens if earlier failures do not make later calls fail at once.
TEST_CASE("calls fail at once during an outage and succeed soon after the table recovers")
{
    GatewayFixture fixture(7);
    fixture.service.faults.requestLost = 100;
    for (int i = 0; i < 30; ++i) {
        fixture.read();
        fixture.write("k", std::nullopt);
        fixture.run(100ms);
    }
    fixture.run(60s);
    const OperationId read = fixture.read();
    const OperationId write = fixture.write("k", std::nullopt);
    fixture.step();
    CHECK(fixture.status(read) == TableStatus::NotDone);
    CHECK(fixture.status(write) == TableStatus::NotDone);
    CHECK(fixture.durations[write] <= 10ms);

    fixture.service.faults = {};
    fixture.run(13s);
    const OperationId recovered = fixture.write("k", std::nullopt);
    fixture.run(100ms);
    CHECK(fixture.status(recovered) == TableStatus::Done);
    const OperationId second = fixture.read();
    fixture.run(100ms);
    CHECK(fixture.status(second) == TableStatus::Done);
}

// Guards against a router whose calls fail until its restart although the table has recovered. This
// happens if the rate limit holds the trial call back and the breaker waits for an answer to a
// call that was never sent.
TEST_CASE("a trial that the rate limit holds back is made later")
{
    CallQueuePolicy policy;
    policy.burst = 1;
    policy.breaker.failuresToOpen = 1;
    OperationIds ids;
    Base::SeededRandom random(1);
    CallQueue queue(CallKind::Write, policy, ids, random);
    queue.setRate(0.7);
    const Base::TimePoint start{};
    queue.add(1);
    queue.advance(start, true);
    queue.finishAttempt(queue.takeAttempts().at(0).attempt, AttemptResult::NotDone, start);
    queue.add(2); // A trial is due, but the rate limit allows the next call only after 1.43 s.
    queue.advance(start + 800ms, true);
    CHECK(queue.takeAttempts().empty());
    CHECK(queue.takeFailedCalls().size() == 2);
    queue.add(3);
    queue.advance(start + 2s, true);
    REQUIRE(queue.takeAttempts().size() == 1);
}

// Guards against a burst of requests at 8 routers that makes the table refuse the calls of every
// client. Each router uses only its share; a call that cannot be sent in time ends as not done.
TEST_CASE("a burst is sent at the router's share of the rate, the rest ends as not done")
{
    GatewayFixture fixture(7);
    fixture.gateway->setFleetSize(8);
    for (int i = 0; i < 1000; ++i)
        fixture.write("k", std::nullopt);
    fixture.run(5s);
    // 300 / 8 calls per second for the two seconds that a call may wait, plus the burst of 4.
    CHECK(fixture.service.writeCalls <= 79U);
    CHECK(fixture.service.writeCalls >= 73U);
    std::size_t done = 0;
    for (const auto &[id, outcomes] : fixture.outcomes) {
        REQUIRE(outcomes.size() == 1U);
        CHECK((outcomes.front().status == TableStatus::Done
               || outcomes.front().status == TableStatus::NotDone));
        done += outcomes.front().status == TableStatus::Done ? 1 : 0;
    }
    CHECK(fixture.outcomes.size() == 1000U);
    CHECK(done == fixture.service.writeCalls);
}

// Guards against calls of a busy router that pile up at a table that takes up to 700 ms per call.
TEST_CASE("a slow table receives a bounded number of concurrent calls")
{
    TableGatewayPolicy policy;
    policy.writes.burst = 100;
    GatewayFixture fixture(7, policy);
    fixture.service.faults.longestDelay = 350ms;
    std::size_t maxInFlight = 0;
    for (int i = 0; i < 300; ++i) {
        fixture.write("k", std::nullopt);
        fixture.step();
        maxInFlight = std::max(maxInFlight, fixture.gateway->writes().inFlight());
    }
    CHECK(maxInFlight == policy.writes.maxInFlight);
}

TEST_CASE("a policy that lets no call through is rejected")
{
    Fakes::Table table;
    Fakes::FaultyTable service(table, 1);
    Base::SeededRandom random(1);
    TableGatewayPolicy policy;
    policy.writes.maxInFlight = 0;
    CHECK_FALSE(TableGateway::create(policy, service, random));
}
