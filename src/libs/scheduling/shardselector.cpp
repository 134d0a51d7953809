#include "scheduling/shardselector.h"

#include <algorithm>
#include <numeric>

namespace Scheduling {

namespace {

constexpr double randomSteps = 1 << 30;

/// Returns a random number, evenly distributed in [0, 1).
double uniformUnit(Base::RandomSource &random)
{
    return static_cast<double>(random.next() % (1U << 30)) / randomSteps;
}

/// Returns a random index into \a weights, with probabilities in proportion to the weights. \a sum
/// is the sum of the weights.
std::size_t drawWeighted(const std::vector<double> &weights, double sum, Base::RandomSource &random)
{
    double remaining = uniformUnit(random) * sum;
    for (std::size_t i = 0; i + 1 < weights.size(); ++i) {
        remaining -= weights[i];
        if (remaining < 0)
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
    const std::vector<double> rates = effectiveRates(summaries);
    const double sum = std::accumulate(rates.begin(), rates.end(), 0.0);
    const std::size_t first = drawWeighted(rates, sum, random);
    const std::size_t second = drawWeighted(rates, sum, random);
    const double firstWait = predictedWait(summaries[first], rates[first]);
    const double secondWait = predictedWait(summaries[second], rates[second]);
    const std::size_t shorter = firstWait <= secondWait ? first : second;
    const std::size_t longer = shorter == first ? second : first;
    const double damping = std::chrono::duration<double>(m_policy.damping).count();
    const double preference = std::min(1.0, std::abs(firstWait - secondWait) / damping);
    const std::size_t chosen = uniformUnit(random) < (1 + preference) / 2 ? shorter : longer;
    const ShardSummary &summary = summaries[chosen];
    SentWork &sent = m_sent[summary.shard];
    if (sent.summaryAt != summary.receivedAt)
        sent = {summary.receivedAt, 0};
    ++sent.count;
    return summary.shard;
}

std::vector<double> ShardSelector::effectiveRates(const std::vector<ShardSummary> &summaries) const
{
    double largestRate = 0;
    for (const ShardSummary &summary : summaries)
        largestRate = std::max(largestRate, summary.drainRate);
    const double assumedRate = largestRate > 0 ? largestRate * m_policy.unknownRateFactor : 1;
    std::vector<double> rates;
    rates.reserve(summaries.size());
    for (const ShardSummary &summary : summaries)
        rates.push_back(summary.drainRate > 0 ? summary.drainRate : assumedRate);
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
