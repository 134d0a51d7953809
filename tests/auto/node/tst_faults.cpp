#include "support/callrecorder.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <set>

using namespace std::chrono_literals;

namespace {

VirtualFleet::FleetShape smallShape(std::uint64_t seed)
{
    VirtualFleet::FleetShape shape;
    shape.routers = 4;
    shape.zones = 2;
    shape.seed = seed;
    VirtualFleet::EngineShape engine;
    engine.slots = 4;
    shape.groups = {{Base::PoolId("model/m"), 3, engine}};
    shape.targets = {{Base::ClassId("tags"), 500ms, std::nullopt},
                     {Base::ClassId("summaries"), 4000ms, std::nullopt}};
    for (const char *name : {"dealer", "seller", "counter"})
        shape.customers.emplace_back(name);
    return shape;
}

enum class Fault {
    KillRouter,
    CutRouters,
    FreezeRouter,
    KillServer,
    FreezeServer,
    SlowServer,
    CutStreams,
    LoseMessages,
    DoubleMessages,
    TableDown,
    TableLosesAnswers,
};
constexpr int faultKinds = 11;

/// A fault with its target, its start after the beginning of the load, and its duration. After
/// that time the fault is repaired.
struct FaultPlan
{
    Fault fault = Fault::KillRouter;
    std::size_t target = 0;
    std::size_t other = 0;
    Base::Duration begins{0};
    Base::Duration lasts{0};
};

rc::Gen<FaultPlan> anyFault()
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange(0, faultKinds), rc::gen::inRange<std::size_t>(0, 4),
                       rc::gen::inRange<std::size_t>(1, 4), rc::gen::inRange(0, 8000),
                       rc::gen::weightedOneOf<int>({{3, rc::gen::inRange(50, 6000)},
                                                    {1, rc::gen::inRange(30000, 200000)}})),
        [](const std::tuple<int, std::size_t, std::size_t, int, int> &drawn) {
            const auto &[kind, target, offset, begins, lasts] = drawn;
            return FaultPlan{static_cast<Fault>(kind), target, (target + offset) % 4,
                             std::chrono::milliseconds(begins), std::chrono::milliseconds(lasts)};
        });
}

class FaultyFleet
{
public:
    explicit FaultyFleet(std::uint64_t seed)
        : fleet(smallShape(seed))
        , recorder(fleet)
    {
        fleet.runFor(3s);
    }

    void plan(const FaultPlan &fault)
    {
        fleet.queue().after(fault.begins, [this, fault] { apply(fault, true); });
        fleet.queue().after(fault.begins + fault.lasts, [this, fault] { apply(fault, false); });
    }

    /// Sends a steady stream of requests to all routers for ten seconds. Every fifth request is not
    /// repeatable, and every other one of those is sent to two routers.
    void load()
    {
        for (int i = 0; i < 160; ++i) {
            fleet.queue().after(i * 60ms, [this, i] { ask(i); });
        }
    }

    VirtualFleet::Fleet fleet;
    Fakes::CallRecorder recorder;

private:
    void ask(int i)
    {
        const std::vector<Base::CustomerId> &customers = fleet.shape().customers;
        const Base::CustomerId customer = customers[static_cast<std::size_t>(i) % 3];
        const std::size_t router = static_cast<std::size_t>(i) % 4;
        const bool isLong = i % 7 == 0;
        const std::string key = i % 5 == 0 ? "hold-" + std::to_string(i) : std::string();
        recorder.ask(router, customer, isLong ? "summaries" : "tags", 200, isLong ? 160 : 24, key);
        if (i % 10 == 0)
            recorder.ask((router + 1) % 4, customer, isLong ? "summaries" : "tags", 200,
                         isLong ? 160 : 24, key);
    }

    void apply(const FaultPlan &fault, bool isBegin)
    {
        auto server =
            std::next(fleet.servers().begin(), static_cast<std::ptrdiff_t>(fault.target % 3));
        switch (fault.fault) {
        case Fault::KillRouter:
            if (isBegin)
                fleet.kill(fault.target);
            else if (!fleet.router(fault.target))
                fleet.restart(fault.target);
            break;
        case Fault::CutRouters:
            fleet.setPartitioned(fault.target, fault.other, isBegin);
            break;
        case Fault::FreezeRouter:
            if (fleet.router(fault.target))
                fleet.router(fault.target)->setFrozen(isBegin);
            break;
        case Fault::KillServer:
            fleet.setServerDead(server->first, isBegin);
            break;
        case Fault::FreezeServer:
            server->second->setFrozen(isBegin);
            break;
        case Fault::SlowServer:
            server->second->setSlowness(isBegin ? 20 : 1);
            break;
        case Fault::CutStreams:
            fleet.dropConnections(server->first);
            break;
        case Fault::LoseMessages:
            fleet.setLossShare(isBegin ? 0.3 : 0);
            break;
        case Fault::DoubleMessages:
            fleet.setDuplicateShare(isBegin ? 0.3 : 0);
            break;
        case Fault::TableDown:
            fleet.table().setMode(isBegin ? VirtualFleet::VirtualTable::Mode::Down
                                          : VirtualFleet::VirtualTable::Mode::Working);
            break;
        case Fault::TableLosesAnswers:
            fleet.table().setMode(isBegin ? VirtualFleet::VirtualTable::Mode::LosesAnswers
                                          : VirtualFleet::VirtualTable::Mode::Working);
            break;
        }
    }
};

/// Checks what must hold for each request under any fault.
void checkAll(const Fakes::CallRecorder &recorder)
{
    std::map<std::string, std::size_t> runsOfKey;
    for (const auto &[caller, record] : recorder.records) {
        const std::size_t runs = recorder.timesRun(caller);
        if (!record.isRepeatable)
            runsOfKey[record.key] += runs;
        if (record.isFinished) {
            // A repeated call with an idempotency key may get the stored answer of the first call.
            RC_ASSERT(record.failures.empty());
            RC_ASSERT(!record.isRepeatable || record.isWhole());
        }
        RC_ASSERT(record.failures.size() <= 1);
        if (recorder.isEntryAlive(record) && !record.hasFinalAnswer())
            RC_FAIL("request " + std::to_string(caller) + " has no final answer");
        if (!record.failures.empty() && record.failures.front().ran == Node::Ran::No)
            RC_ASSERT(runs == 0);
    }
    for (const auto &[key, runs] : runsOfKey)
        RC_ASSERT(runs <= 1);
}

} // namespace

// Guards against streams that stop without a final answer, and against the answer that nothing ran
// although a server worked on the request. The causes are state that only a failed router had, and
// guesses about whether a request was sent. Two faults occur while requests are sent: a router or
// server fails, freezes or is slow, the network is cut or loses messages, the table is down or its
// answers are lost. Each fault is repaired after some seconds or minutes, or not before the test
// ends.
TEST_CASE("every request gets exactly one correct final answer under two faults", "[node][faults]")
{
    rc::prop("with two random faults", [] {
        const auto faults = *rc::gen::container<std::vector<FaultPlan>>(2, anyFault());
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
        FaultyFleet faulty(seed);
        for (const FaultPlan &fault : faults)
            faulty.plan(fault);
        faulty.load();
        faulty.fleet.runFor(120s);
        checkAll(faulty.recorder);
    });
}
