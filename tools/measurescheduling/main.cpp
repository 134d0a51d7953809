#include "schedulingmodels/admittedpool.h"
#include "schedulingmodels/backloggedpool.h"
#include "schedulingmodels/enginemodel.h"
#include "schedulingmodels/failingpool.h"
#include "schedulingmodels/shardsmodel.h"

#include <chrono>
#include <iostream>
#include <string_view>

// Runs the scheduling decisions in models of a pool, from a fixed seed, and prints what they lead
// to. docs/design/ cites its output.

using namespace Scheduling;
using namespace SchedulingModels;
using Base::Milliseconds;

namespace {

/// Prints the fairness gap and the missed start targets for several windows and cost hints, with
/// holds that are learned and with holds that equal the hint.
void measureWindow()
{
    for (const Base::ServiceUnits hint : {5, 20, 100}) {
        for (const bool isLearning : {false, true}) {
            for (const Base::ServiceUnits window : {0, 5, 20, 50, 200, 1000}) {
                BackloggedPool pool(20261, 12, window);
                pool.hint = hint;
                pool.isLearning = isLearning;
                for (std::size_t i = 0; i < 16; ++i)
                    pool.addCustomer(customerNamed(i), i < 3 ? 60 : 6);
                Base::ServiceUnits gap = 0;
                for (int i = 0; i < 40000; ++i) {
                    pool.step();
                    gap = std::max(gap, pool.gap());
                }
                std::cout << "hint " << hint << (isLearning ? " learned" : " held") << ", window "
                          << window << ": gap " << gap << " bound " << pool.bound(window)
                          << " late " << pool.late << " of " << pool.started << '\n';
            }
        }
    }
}

/// Prints the time to take the next work and push another one, with 9,400 customers and 20,000
/// waiting works.
void measureTakeTime()
{
    FairQueue queue = *FairQueue::create({2000});
    FakeService service;
    std::mt19937_64 random(20261);
    std::uint64_t serial = 0;
    for (std::size_t i = 0; i < 20000; ++i) {
        service.received[customerNamed(i % 9400)] = random() % 4000;
        queue.push(workOf(++serial, customerNamed(i % 9400), random() % 5000));
    }
    Base::Duration longest{0};
    const auto begin = std::chrono::steady_clock::now();
    constexpr int takes = 100000;
    for (int i = 0; i < takes; ++i) {
        const auto before = std::chrono::steady_clock::now();
        const auto work = queue.takeNext(service, FakeClaims(), at(0));
        longest = std::max(longest, std::chrono::steady_clock::now() - before);
        service.received[work->customer] += 200 + random() % 3000;
        queue.push(workOf(++serial, work->customer, i + random() % 5000));
    }
    const Base::Duration whole = std::chrono::steady_clock::now() - begin;
    std::cout << "take and push " << whole / takes << " ns, longest take " << longest.count()
              << " ns\n";
}

/// Prints refusals and waits of a customer that floods the pool and of a small one, for several
/// target factors of admission.
void measureTargetFactor()
{
    for (const double factor : {1.0, 2.0, 4.0, 8.0, 1000.0}) {
        AdmittedPool pool(8, factor);
        pool.run(4, 100, 1, 1000);
        pool.run(4, 100, 200, 20000);
        const CustomerStats &flooder = pool.byCustomer[customerNamed(0)];
        const CustomerStats &small = pool.byCustomer[customerNamed(1)];
        std::cout << "factor " << factor << ": flooder started " << flooder.started << " refused "
                  << flooder.refused << " longest wait " << flooder.longestWait.count()
                  << " ms; small started " << small.started << " refused " << small.refused
                  << " late " << small.late << " longest wait " << small.longestWait.count()
                  << " ms; idle " << pool.idle << '\n';
    }
}

/// Prints the utilization that the concurrency limiter reaches, for several engine sizes, answer
/// times and lags of the load report.
void measureLimit()
{
    for (const std::size_t slots : {4, 16, 64, 200}) {
        for (const std::int64_t whole : {50, 300, 3000}) {
            for (const std::int64_t lag : {0, 400, 1500}) {
                EngineModel server({20261, slots, whole, lag, 4, 1});
                server.run(10000);
                const double first = server.utilisation();
                server.run(20000);
                server.run(120000);
                std::cout << "slots " << slots << " answer " << whole << " ms lag " << lag
                          << " ms: first 10 s " << first << " then " << server.utilisation()
                          << " longest queue " << server.longestQueue << " limit "
                          << server.limiter.limit() << '\n';
            }
        }
    }
}

/// Prints how evenly several shards are used, for several dampings of shard selection and with and
/// without handover of waiting work.
void measureShards()
{
    for (const std::size_t entries : {8, 200}) {
        for (const int damping : {0, 500, 1000, 2000, 4000}) {
            ShardSelectorPolicy policy;
            policy.damping = Milliseconds(damping) + std::chrono::microseconds(1);
            for (const bool hasHandover : {false, true}) {
                ShardsModel model(entries, policy);
                const ShardStats stats = model.run(0.95, hasHandover, 120000);
                std::cout << entries << " entries, damping " << damping << " ms, handover "
                          << hasHandover << ": busy " << stats.busy << ", longest wait "
                          << stats.longestWait << " s, idle while work waited "
                          << stats.idleWhileWaiting << ", asks " << model.asks << '\n';
            }
        }
    }
}

/// Prints the attempts for each request when every attempt fails, for several retry shares.
void measureRetries()
{
    for (const double share : {0.0, 0.1, 0.2, 1.0})
        std::cout << "share " << share << ": " << attemptsPerRequest(share) << '\n';
}

} // namespace

int main(int argc, char *argv[])
{
    const std::string_view subject = argc > 1 ? argv[1] : "";
    if (subject == "queue") {
        measureWindow();
        measureTakeTime();
    } else if (subject == "admission") {
        measureTargetFactor();
    } else if (subject == "limit") {
        measureLimit();
    } else if (subject == "placement") {
        measureShards();
    } else if (subject == "retries") {
        measureRetries();
    } else {
        std::cerr << "usage: measurescheduling queue|admission|limit|placement|retries\n";
        return 2;
    }
    return 0;
}
