#include "routing/versioncomparison.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

/// The time in which the weight of the old versions' answers halves.
constexpr double usualHalfLifeSeconds = 1.5;
/// Answers with the assumed share of bad ones that the old versions' share begins with.
constexpr double priorAnswers = 20;
constexpr double priorBadShare = 0.02;
/// The additional share of bad answers of the version that is looked for, of what is left to one.
constexpr double addedBadShare = 0.12;
constexpr double maxUsualShare = 0.6;
/// A version is bad when the sum reaches this value. A good one does so in less than one of ten
/// thousand tests at any one answer.
constexpr double decisionSum = 9.2;
/// An answer is slow if it lies more than this number of half octaves above the quantile of the old
/// versions: more than twice as long as nearly all of theirs.
constexpr std::size_t slowBuckets = 1;
constexpr double slowQuantile = 0.9;
/// Answers of the old versions that are needed to know what is slow.
constexpr std::uint32_t minUsualAnswers = 12;

} // namespace

void VersionComparison::update(const RolloutEvidence &total, Base::Duration elapsed)
{
    const double kept =
        std::exp2(-std::chrono::duration<double>(elapsed).count() / usualHalfLifeSeconds);
    for (const auto &it : total.routes) {
        const std::string &route = it.first;
        const RolloutEvidence::ByVersion &counts = it.second;
        RouteState &state = m_routes[route];
        const AnswerCounts before = counts.before.since(state.seen.before);
        const AnswerCounts after = counts.after.since(state.seen.after);
        state.seen = counts;
        state.recentStarts += before.starts;
        state.recentEvents += before.events;
        test(state.failures, route, "failures", before.answers, before.failures, after.answers,
             after.failures, kept);
        const auto testSlow = [&](Test &of, const char *measure, const LogHistogram &known,
                                  const LogHistogram &old, const LogHistogram &added) {
            if (known.total() < minUsualAnswers)
                return;
            const std::size_t limit = known.quantileBucket(slowQuantile) + slowBuckets;
            test(of, route, measure, old.total(), old.above(limit), added.total(),
                 added.above(limit), kept);
        };
        testSlow(state.starts, "starts", state.recentStarts, before.starts, after.starts);
        testSlow(state.events, "events", state.recentEvents, before.events, after.events);
    }
}

void VersionComparison::test(Test &test, const std::string &route, const char *measure,
                             std::uint32_t usualAnswers, std::uint32_t usualBad,
                             std::uint32_t answers, std::uint32_t bad, double kept)
{
    test.usual.answers = test.usual.answers * kept + usualAnswers;
    test.usual.bad = test.usual.bad * kept + usualBad;
    test.answers += answers;
    test.bad += bad;
    const auto share = [](double of, double all) {
        return (of + priorAnswers * priorBadShare) / (all + priorAnswers);
    };
    // What began in this very moment is not in the recent share yet.
    const double usual =
        std::min(std::max(share(test.usual.bad, test.usual.answers), share(usualBad, usualAnswers)),
                 maxUsualShare);
    const double looked = usual + addedBadShare * (1 - usual);
    // Within one update the order of good and bad answers is not known.
    test.sum += bad * std::log(looked / usual)
                + (answers - std::min(answers, bad)) * std::log((1 - looked) / (1 - usual));
    test.sum = std::max(test.sum, 0.0);
    if (!m_fault && test.sum >= decisionSum)
        m_fault = VersionFault{route, measure, test.answers, test.bad, usual};
}

std::uint64_t VersionComparison::fewestAnswers() const
{
    std::optional<std::uint64_t> fewest;
    for (const auto &[route, state] : m_routes) {
        if (state.seen.before.answers + state.seen.after.answers == 0)
            continue;
        const std::uint64_t answers = state.seen.after.answers;
        fewest = std::min(fewest.value_or(answers), answers);
    }
    return fewest.value_or(0);
}

} // namespace Routing
