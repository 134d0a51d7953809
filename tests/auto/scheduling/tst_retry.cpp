#include "scheduling/retrybudget.h"
#include "scheduling/retrypolicy.h"
#include "schedulingmodels/failingpool.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Scheduling;
using namespace SchedulingModels;
using Base::Milliseconds;

TEST_CASE("nothing runs twice that must not, for any failed attempt", "[scheduling]")
{
    rc::prop("the step follows from what is known", [] {
        FailedAttempt failed;
        failed.ran = *rc::gen::element(AttemptExecution::NeverSent, AttemptExecution::Refused,
                                       AttemptExecution::MaybeRan);
        failed.isRepeatable = *rc::gen::arbitrary<bool>();
        failed.isAnswerStarted = *rc::gen::arbitrary<bool>();
        failed.isStreamResumable = *rc::gen::arbitrary<bool>();
        failed.attempts = *rc::gen::inRange(1U, 5U);
        if (*rc::gen::arbitrary<bool>())
            failed.deadlineWithin = Milliseconds(*rc::gen::inRange(-10, 200));
        if (*rc::gen::arbitrary<bool>())
            failed.serverRetryAfter = Milliseconds(*rc::gen::inRange(0, 200));
        RetryBudget budget = *RetryBudget::create({0.1, 1});
        const bool isSpent = *rc::gen::arbitrary<bool>() && budget.takeRetry();
        Base::SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
        const double before = budget.available();
        const RetryDecision decision = RetryPolicy::create({})->decide(failed, budget, random);
        const bool mayHaveRun = failed.ran == AttemptExecution::MaybeRan;
        if (decision.step == RetryStep::GiveUp) {
            RC_ASSERT(budget.available() == before);
            const bool isHopeless = isSpent || failed.attempts >= 3 || failed.deadlineWithin;
            const bool isAllowed = failed.isAnswerStarted ? mayHaveRun && failed.isStreamResumable
                                                          : !mayHaveRun || failed.isStreamResumable
                                                                || failed.isRepeatable;
            RC_ASSERT(isHopeless || !isAllowed);
            return;
        }
        RC_ASSERT(budget.available() == before - 1);
        RC_ASSERT(failed.attempts < 3);
        RC_ASSERT(!failed.deadlineWithin || decision.after < *failed.deadlineWithin);
        RC_ASSERT(decision.after >= failed.serverRetryAfter.value_or(Milliseconds(0)));
        RC_ASSERT(decision.after
                  <= failed.serverRetryAfter.value_or(Milliseconds(0)) + Milliseconds(100));
        if (decision.step == RetryStep::ResumeStream)
            RC_ASSERT(mayHaveRun && failed.isStreamResumable);
        else
            RC_ASSERT(!failed.isAnswerStarted && (!mayHaveRun || failed.isRepeatable));
    });
}

TEST_CASE("retries stay within their share when everything fails", "[scheduling]")
{
    // One engine dies on a Saturday and minutes later all have: each caller's request came
    // three times.
    CHECK(attemptsPerRequest(0.1) <= 1.11);
    CHECK(attemptsPerRequest(1) <= 2.01);
    CHECK(!RetryBudget::create({2, 10}));
    CHECK(!RetryPolicy::create({0}));
}

TEST_CASE("streams cut together do not come back together", "[scheduling]")
{
    RetryBudget budget = *RetryBudget::create({0.1, 1000});
    const RetryPolicy policy = *RetryPolicy::create({});
    Base::SeededRandom random(20261);
    std::map<std::int64_t, int> perTenth;
    for (int i = 0; i < 1000; ++i) {
        const RetryDecision decision = policy.decide({}, budget, random);
        ++perTenth[decision.after / Milliseconds(5)];
    }
    CHECK(perTenth.size() >= 10);
    for (const auto &[tenth, n] : perTenth)
        CHECK(n < 150);
}
