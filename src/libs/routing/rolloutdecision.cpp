#include "routing/rolloutdecision.h"

#include <algorithm>
#include <utility>

namespace Routing {

namespace {

/// Shares of the order's time: the test lasts at least until the first one, and until the second
/// one while a route has too few answers.
constexpr double earliestMoveShare = 0.4;
constexpr double latestMoveShare = 0.5;
/// In this share of the order's time the requests move. Then the new version is watched with all
/// requests before the roll-out may be complete: for the time of some answers and of the reports on
/// them.
constexpr double moveShare = 0.3;
constexpr Base::Duration watchTime = std::chrono::seconds(2);
/// At this share of the order's time the roll-out ends, so that the end is in the store before the
/// deadline.
constexpr double lastDecisionShare = 0.95;
/// The answers of the new version on each route after which nothing more is expected of a test with
/// few requests.
constexpr std::uint64_t sufficientAnswers = 40;
constexpr Base::Duration comparisonInterval = std::chrono::milliseconds(100);
/// The new version is complete only with at least this share of the servers that the old ones had.
constexpr double minServerShare = 0.5;

} // namespace

RolloutDecision::RolloutDecision(RolloutState state, Base::TimePoint orderedAt,
                                 Base::TimePoint phaseBeganAt)
    : m_state(std::move(state))
    , m_orderedAt(orderedAt)
    , m_phaseBeganAt(phaseBeganAt)
{}

Base::TimePoint RolloutDecision::at(double share) const
{
    return m_orderedAt + std::chrono::duration_cast<Base::Duration>(m_state.order.duration * share);
}

std::optional<RolloutStep> RolloutDecision::advance(const RolloutInput &input, Base::TimePoint now)
{
    if (isFinal(m_state.phase))
        return std::nullopt;
    if (!m_state.order.isUsable())
        return RolloutStep{RolloutPhase::RolledBack, "unusable_order", std::nullopt};
    if (!input.isOrdered)
        return RolloutStep{RolloutPhase::RolledBack, "withdrawn", std::nullopt};
    if (m_state.oldVersions.empty() && input.newServers > 0)
        return RolloutStep{RolloutPhase::Completed, "nothing_to_move", std::nullopt};
    if (!m_comparedAt || now - *m_comparedAt >= comparisonInterval) {
        m_comparison.update(input.evidence,
                            m_comparedAt ? now - *m_comparedAt : Base::Duration::zero());
        m_comparedAt = now;
    }
    if (m_comparison.fault())
        return RolloutStep{RolloutPhase::RolledBack, "bad_version", m_comparison.fault()};
    return m_state.phase == RolloutPhase::Testing ? advanceTest(input, now)
                                                  : advanceMove(input, now);
}

std::optional<RolloutStep> RolloutDecision::advanceTest(const RolloutInput &input,
                                                        Base::TimePoint now) const
{
    if (now >= at(lastDecisionShare))
        return RolloutStep{RolloutPhase::RolledBack, "not_tested_in_time", std::nullopt};
    const std::uint64_t answers = m_comparison.fewestAnswers();
    const bool canBear = static_cast<double>(input.newServers)
                         >= minServerShare * static_cast<double>(input.oldServers);
    if (now < at(earliestMoveShare) || input.newServers == 0 || !canBear)
        return std::nullopt;
    if (answers >= sufficientAnswers || now >= at(latestMoveShare))
        return RolloutStep{RolloutPhase::Moving, "tested", std::nullopt};
    return std::nullopt;
}

std::optional<RolloutStep> RolloutDecision::advanceMove(const RolloutInput &input,
                                                        Base::TimePoint now) const
{
    if (now >= at(lastDecisionShare))
        return RolloutStep{RolloutPhase::Completed, "deadline", std::nullopt};
    const auto moved =
        std::chrono::duration_cast<Base::Duration>(m_state.order.duration * moveShare);
    if (input.evidence.runningBefore == 0 && now >= m_phaseBeganAt + moved + watchTime)
        return RolloutStep{RolloutPhase::Completed, "moved", std::nullopt};
    return std::nullopt;
}

double movedShare(const RolloutOrder &order, Base::Duration since)
{
    const double span = std::chrono::duration<double>(order.duration).count() * moveShare;
    if (span <= 0)
        return 1;
    const double part = std::clamp(std::chrono::duration<double>(since).count() / span, 0.0, 1.0);
    return part * part * part;
}

} // namespace Routing
