#include "scheduling/shardselector.h"

#include <algorithm>
#include <numeric>

namespace Scheduling {

namespace {

constexpr double randomSteps = 1 << 30;

/// Evenly in [0, 1).
double unit(Base::RandomSource &random)
{
    return static_cast<double>(random.next() % (1U << 30)) / randomSteps;
}

std::size_t draw(const std::vector<double> &weights, double sum, Base::RandomSource &random)
{
    double left = unit(random) * sum;
    for (std::size_t i = 0; i + 1 < weights.size(); ++i) {
        left -= weights[i];
        if (left < 0)
            return i;
    }
    return weights.size() - 1;
}

} // namespace

ShardSelector::ShardSelector(const ShardSelectorPolicy &policy)
    : m_policy(policy)
{}

std::uint32_t ShardSelector::choose(const std::vector<ShardSummary> &summaries,
                                    Base::RandomSource &random)
{
    const std::vector<double> rates = weights(summaries);
    const double sum = std::accumulate(rates.begin(), rates.end(), 0.0);
    const std::size_t one = draw(rates, sum, random);
    const std::size_t two = draw(rates, sum, random);
    const double waitOne = predictedWait(summaries[one], rates[one]);
    const double waitTwo = predictedWait(summaries[two], rates[two]);
    const std::size_t shorter = waitOne <= waitTwo ? one : two;
    const std::size_t longer = shorter == one ? two : one;
    const double damping = std::chrono::duration<double>(m_policy.damping).count();
    const double certainty = std::min(1.0, std::abs(waitOne - waitTwo) / damping);
    const std::size_t chosen = unit(random) < (1 + certainty) / 2 ? shorter : longer;
    const ShardSummary &summary = summaries[chosen];
    Sent &sent = m_sent[summary.shard];
    if (sent.summaryAt != summary.receivedAt)
        sent = {summary.receivedAt, 0};
    ++sent.count;
    return summary.shard;
}

std::vector<double> ShardSelector::weights(const std::vector<ShardSummary> &summaries) const
{
    double largest = 0;
    for (const ShardSummary &summary : summaries)
        largest = std::max(largest, summary.drainRate);
    const double unknown = largest > 0 ? largest * m_policy.unknownRatePart : 1;
    std::vector<double> rates;
    rates.reserve(summaries.size());
    for (const ShardSummary &summary : summaries)
        rates.push_back(summary.drainRate > 0 ? summary.drainRate : unknown);
    return rates;
}

double ShardSelector::predictedWait(const ShardSummary &summary, double rate) const
{
    const auto it = m_sent.find(summary.shard);
    const bool isCurrent = it != m_sent.end() && it->second.summaryAt == summary.receivedAt;
    const std::size_t sent = isCurrent ? it->second.count : 0;
    const double ahead = static_cast<double>(summary.waiting + sent);
    return std::max(0.0, ahead - static_cast<double>(summary.freePermits)) / rate;
}

} // namespace Scheduling
