#include "claimfleet.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace Claims;
using namespace ClaimFleet;

namespace {

struct LoadResult
{
    double rowsPerWrite = 0;
    double fleetWritesPerSecond = 0;
    Base::Milliseconds median{};
    Base::Milliseconds p95{};
    std::size_t claims = 0;
    std::size_t refused = 0;
};

/// Simulates one router of a fleet with its share of the table's rate and of the fleet's claims.
LoadResult measure(std::size_t routers, std::size_t fleetClaimsPerSecond)
{
    constexpr int seconds = 120;
    Fleet fleet(20261, 1);
    Router &router = fleet.router(0);
    router.gateway->setFleetSize(routers);
    std::map<Base::RequestKey, Base::TimePoint> asked;
    std::vector<Base::Milliseconds> waits;
    LoadResult result;
    std::size_t seen = 0;
    for (int step = 0; step < seconds * 100; ++step) {
        // Arrivals are random, with one trial for each hundredth of a step of 10 ms.
        for (int i = 0; i < 100; ++i) {
            if (fleet.random.next() % (routers * 10000) < fleetClaimsPerSecond)
                asked[router.claim("k" + std::to_string(asked.size()), 1, fleet.now)] = fleet.now;
        }
        fleet.run(10ms);
        for (; seen < fleet.verdicts.size(); ++seen) {
            const ClaimOutcome &outcome = fleet.verdicts[seen].outcome;
            result.refused += outcome.verdict == ClaimVerdict::Claimed ? 0 : 1;
            waits.push_back(
                std::chrono::duration_cast<Base::Milliseconds>(fleet.now - asked[outcome.request]));
        }
    }
    std::sort(waits.begin(), waits.end());
    result.claims = asked.size();
    result.median = waits.at(waits.size() / 2);
    result.p95 = waits.at(waits.size() * 95 / 100);
    const auto writes = static_cast<double>(router.below.writeCalls);
    result.rowsPerWrite = static_cast<double>(router.below.written.size()) / writes;
    result.fleetWritesPerSecond = writes * static_cast<double>(routers) / seconds;
    return result;
}

} // namespace

// This case measures and checks nothing. docs/design/claims.md lists its figures.
TEST_CASE("rows in a write against claims a second", "[.slope]")
{
    std::cout << "routers claims/s rows/write writes/s median/ms 95%/ms asked refused\n";
    for (const std::size_t routers : {8U, 32U, 128U, 420U}) {
        for (const std::size_t claims : {21U, 210U, 1050U, 2100U, 4200U}) {
            const LoadResult it = measure(routers, claims);
            std::cout << routers << ' ' << claims << ' ' << it.rowsPerWrite << ' '
                      << it.fleetWritesPerSecond << ' ' << it.median.count() << ' '
                      << it.p95.count() << ' ' << it.claims << ' ' << it.refused << '\n';
        }
    }
}
