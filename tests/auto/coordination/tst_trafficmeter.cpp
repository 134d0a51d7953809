#include "coordination/stretchedinterval.h"
#include "coordination/trafficmeter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <deque>

namespace {

using namespace std::chrono_literals;
using namespace Coordination;

struct Sender
{
    TrafficKind kind = TrafficKind::Ledger;
    StretchedInterval interval;
    std::size_t maxBytes = 0;
};

} // namespace

// Guards against control traffic above the budget of a daemon: deltas grow from a few customers to
// hundreds at once, several exchanges run and permits take a part of the budget.
TEST_CASE("deferrable exchanges that obey stretch stay under the budget", "[traffic]")
{
    rc::prop("no window of two seconds has more than the budget", [] {
        TrafficMeter meter = *TrafficMeter::create({});
        std::vector<Sender> senders;
        const int count = *rc::gen::inRange(1, 6);
        for (int i = 0; i < count; ++i)
            senders.push_back(
                {*rc::gen::element(TrafficKind::Ledger, TrafficKind::Heartbeats,
                                   TrafficKind::Configuration),
                 StretchedInterval(std::chrono::milliseconds(*rc::gen::inRange(20, 1000))),
                 *rc::gen::inRange<std::size_t>(10, 5500)});
        const auto permitBytes = *rc::gen::inRange<std::size_t>(0, 60);
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        std::deque<std::pair<Base::TimePoint, std::size_t>> sent;
        std::size_t inWindow = 0;
        Base::TimePoint now{10s};
        for (std::uint32_t tick = 0; tick < 2000; ++tick, now += 10ms) {
            const auto record = [&](TrafficKind kind, std::size_t bytes) {
                meter.record(kind, bytes, now);
                sent.emplace_back(now, bytes);
                inWindow += bytes;
            };
            record(TrafficKind::Permits, permitBytes);
            for (Sender &sender : senders) {
                // The budget is kept after the first window, when the meter has counted permits.
                if (tick < 200 || !sender.interval.take(now, meter.stretch(now)))
                    continue;
                // Quiet periods alternate with sudden bursts.
                const bool isBurst = ((tick + seed) / 300) % 2 == 0;
                record(sender.kind, isBurst ? sender.maxBytes : sender.maxBytes / 50 + 1);
            }
            while (sent.front().first <= now - TrafficMeter::window) {
                inWindow -= sent.front().second;
                sent.pop_front();
            }
            RC_ASSERT(inWindow <= 30000);
        }
    });
}

TEST_CASE("light traffic is not stretched, and a stretch ends with its cause", "[traffic]")
{
    TrafficMeter meter = *TrafficMeter::create({});
    Base::TimePoint now{10s};
    for (int i = 0; i < 100; ++i) {
        meter.record(TrafficKind::Heartbeats, 400, now += 100ms);
        CHECK(meter.stretch(now) == 1);
    }
    for (int i = 0; i < 20; ++i)
        meter.record(TrafficKind::Ledger, 2000, now += 100ms);
    CHECK(meter.stretch(now) > 1);
    CHECK(meter.stretch(now + 2200ms) == 1);
    CHECK(meter.total(TrafficKind::Ledger) == 40000);
}

TEST_CASE("when permits alone fill the budget, exchanges keep their reserve and charges coarsen",
          "[traffic]")
{
    TrafficMeter meter = *TrafficMeter::create({});
    Base::TimePoint now{10s};
    StretchedInterval interval(500ms);
    std::size_t sent = 0;
    for (int i = 0; i < 1000; ++i) {
        now += 10ms;
        meter.record(TrafficKind::Permits, 200, now);
        if (!interval.take(now, meter.stretch(now)))
            continue;
        meter.record(TrafficKind::Heartbeats, 600, now);
        ++sent;
    }
    CHECK(sent >= 10);
    CHECK(meter.chargeStretch(now) > 2);
    CHECK(meter.chargeStretch(now + 5s) == 1);
}

TEST_CASE("an interval is kept if nothing stretches it, and a block ends with its cause",
          "[traffic]")
{
    StretchedInterval interval(500ms);
    const Base::TimePoint start{10s};
    CHECK(interval.take(start, 1));
    CHECK_FALSE(interval.take(start + 499ms, 1));
    CHECK(interval.take(start + 500ms, 1));
    CHECK_FALSE(interval.take(start + 1000ms, 1000));
    CHECK(interval.nextDue() == start + 1050ms);
    CHECK(interval.take(start + 1050ms, 1));
}
