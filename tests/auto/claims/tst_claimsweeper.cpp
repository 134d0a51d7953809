#include "claims/claimsweeper.h"

#include "claimfleet.h"

#include <catch2/catch.hpp>

using namespace Claims;
using namespace ClaimFleet;

// Guards against a table that grows without limit, and against work that runs again because its
// claim was deleted too early. A claim may change between the sweeper's read and its deletion.
TEST_CASE("the sweeper deletes only rows whose retention has ended")
{
    Fleet fleet(1, 1);
    Router &router = fleet.router(0);
    const Base::WallTime wall = router.wall(fleet.now);
    for (int i = 0; i < 1200; ++i) {
        ClaimRow row;
        row.state = ClaimState::Completed;
        // Of three rows, one has expired beyond the clock skew, one within it, and one not at all.
        const std::chrono::seconds ages[] = {61s, 59s, -1s};
        row.retainUntil = wall - ages[i % 3];
        const std::string key = claimPrefix + std::to_string(i);
        fleet.table.rows[key] = {key, encodeClaim(row), 1};
    }
    fleet.table.rows["claim/bad"] = {"claim/bad", "{}", 1};
    fleet.table.rows["other"] = {"other", "x", 1};

    Fakes::FaultyTable below(fleet.table, 1);
    Storage::OperationIds ids;
    ClaimSweeper sweeper = *ClaimSweeper::create({}, below, ids);
    const auto run = [&](Base::Duration duration, bool isElected) {
        for (const Base::TimePoint end = fleet.now + duration; fleet.now < end;) {
            fleet.now += 10ms;
            sweeper.advance(fleet.now, wall, isElected);
            for (const Storage::TableOutcome &outcome : below.step(fleet.now))
                sweeper.handle(outcome, fleet.now);
        }
    };
    run(5s, false);
    CHECK(below.readCalls == 0);
    below.faults.refused = 100;
    run(2s, true);
    CHECK(fleet.table.rows.size() == 1202);
    below.faults = {};
    run(10s, true);
    CHECK(fleet.table.rows.size() == 1202 - 400);
    CHECK(sweeper.counts().passes == 1);
    CHECK(sweeper.counts().unreadable == 1);
    CHECK(below.writeCalls == 3);

    // The row changes between the read and the deletion, so the deletion fails and the row stays.
    fleet.table.rows["claim/1"] = {"claim/1", encodeClaim({}), 5};
    below.faults.longestDelay = 0ms;
    ClaimSweeper second = *ClaimSweeper::create({}, below, ids);
    second.advance(fleet.now, wall, true);
    for (const Storage::TableOutcome &outcome : below.step(fleet.now))
        second.handle(outcome, fleet.now);
    REQUIRE(second.counts().expired == 1);
    fleet.table.rows["claim/1"].version = 6;
    below.step(fleet.now);
    CHECK(fleet.table.rows.contains("claim/1"));
}
