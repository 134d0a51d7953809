#include "claimfleet.h"

#include <catch2/catch.hpp>

#include <iostream>

using namespace Claims;
using namespace ClaimFleet;

namespace {

struct Slope
{
    double rowsPerWrite = 0;
    double fleetWritesPerSecond = 0;
    Base::Milliseconds median{};
    Base::Milliseconds slow{};
    std::size_t asked = 0;
    std::size_t refused = 0;
};

/// One router of a fleet, with its share of the table's rate and of the fleet's claims.
Slope measure(std::size_t routers, std::size_t fleetClaimsPerSecond)
{
    constexpr int seconds = 120;
    Fleet fleet(20261, 1);
    Router &router = fleet.router(0);
    router.gateway->setFleetSize(routers);
    std::map<Base::RequestKey, Base::TimePoint> asked;
    std::vector<Base::Milliseconds> waits;
    Slope slope;
    std::size_t seen = 0;
    for (int step = 0; step < seconds * 100; ++step) {
        // Arrivals at random: a coin for each hundredth of a hundredth of a second.
        for (int i = 0; i < 100; ++i) {
            if (fleet.random.next() % (routers * 10000) < fleetClaimsPerSecond)
                asked[router.claim("k" + std::to_string(asked.size()), 1, fleet.now)] = fleet.now;
        }
        fleet.run(10ms);
        for (; seen < fleet.verdicts.size(); ++seen) {
            const ClaimOutcome &outcome = fleet.verdicts[seen].outcome;
            slope.refused += outcome.verdict == ClaimVerdict::Claimed ? 0 : 1;
            waits.push_back(
                std::chrono::duration_cast<Base::Milliseconds>(fleet.now - asked[outcome.request]));
        }
    }
    std::sort(waits.begin(), waits.end());
    slope.asked = asked.size();
    slope.median = waits.at(waits.size() / 2);
    slope.slow = waits.at(waits.size() * 95 / 100);
    const auto writes = static_cast<double>(router.below.writeCalls);
    slope.rowsPerWrite = static_cast<double>(router.below.written.size()) / writes;
    slope.fleetWritesPerSecond = writes * static_cast<double>(routers) / seconds;
    return slope;
}

} // namespace

// Not a check but a measurement: docs/design/claims.md has its figures.
TEST_CASE("rows in a write against claims a second", "[.slope]")
{
    std::cout << "routers claims/s rows/write writes/s median/ms 95%/ms asked refused\n";
    for (const std::size_t routers : {8U, 32U, 128U, 420U}) {
        for (const std::size_t claims : {21U, 210U, 1050U, 2100U, 4200U}) {
            const Slope it = measure(routers, claims);
            std::cout << routers << ' ' << claims << ' ' << it.rowsPerWrite << ' '
                      << it.fleetWritesPerSecond << ' ' << it.median.count() << ' '
                      << it.slow.count() << ' ' << it.asked << ' ' << it.refused << '\n';
        }
    }
}
