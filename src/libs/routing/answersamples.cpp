#include "routing/answersamples.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Routing {

namespace {

/// The smallest sample that has a bucket of its own is 2^-4.
constexpr double octavesBelowOne = 4;
constexpr double bucketsPerOctave = 2;

std::uint32_t grown(std::uint32_t now, std::uint32_t earlier)
{
    return now - std::min(now, earlier);
}

} // namespace

std::size_t LogHistogram::bucketOf(double value)
{
    if (!(value > 0))
        return 0;
    const double bucket = std::floor((std::log2(value) + octavesBelowOne) * bucketsPerOctave);
    return static_cast<std::size_t>(std::clamp(bucket, 0.0, static_cast<double>(bucketCount - 1)));
}

std::uint32_t LogHistogram::total() const
{
    return std::accumulate(m_counts.begin(), m_counts.end(), 0U);
}

std::size_t LogHistogram::quantileBucket(double share) const
{
    const double wanted = share * total();
    double sum = 0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        sum += m_counts[i];
        if (sum > 0 && sum >= wanted)
            return i;
    }
    return 0;
}

std::uint32_t LogHistogram::above(std::size_t bucket) const
{
    std::uint32_t n = 0;
    for (std::size_t i = bucket + 1; i < bucketCount; ++i)
        n += m_counts[i];
    return n;
}

LogHistogram &LogHistogram::operator+=(const LogHistogram &other)
{
    for (std::size_t i = 0; i < bucketCount; ++i)
        m_counts[i] += other.m_counts[i];
    return *this;
}

LogHistogram LogHistogram::since(const LogHistogram &earlier) const
{
    LogHistogram added;
    for (std::size_t i = 0; i < bucketCount; ++i)
        added.m_counts[i] = grown(m_counts[i], earlier.m_counts[i]);
    return added;
}

void AnswerCounts::add(const AnswerSample &sample)
{
    ++answers;
    if (sample.isFailure) {
        ++failures;
        return;
    }
    starts.add(sample.startCost);
    if (sample.eventMilliseconds)
        events.add(*sample.eventMilliseconds);
}

AnswerCounts &AnswerCounts::operator+=(const AnswerCounts &other)
{
    answers += other.answers;
    failures += other.failures;
    starts += other.starts;
    events += other.events;
    return *this;
}

AnswerCounts AnswerCounts::since(const AnswerCounts &earlier) const
{
    return {grown(answers, earlier.answers), grown(failures, earlier.failures),
            starts.since(earlier.starts), events.since(earlier.events)};
}

RolloutEvidence &RolloutEvidence::operator+=(const RolloutEvidence &other)
{
    requests += other.requests;
    exposed += other.exposed;
    runningBefore += other.runningBefore;
    for (const auto &[route, counts] : other.routes) {
        routes[route].before += counts.before;
        routes[route].after += counts.after;
    }
    return *this;
}

} // namespace Routing
