#include "gateway/attemptsampler.h"

#include <algorithm>

namespace Gateway {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;
using Routing::AttemptOutcome;

/// The least time that a start is compared with. Shorter ones are mostly the way to the server.
constexpr Base::Duration minUsualStart = std::chrono::milliseconds(10);
/// Answers with fewer events tell nothing of the time for each.
constexpr std::size_t minEvents = 3;

} // namespace

void AttemptSampler::begin(const std::string &softwareVersion, Base::Duration usualStart,
                           Base::TimePoint now)
{
    *this = AttemptSampler();
    m_isRunning = true;
    m_softwareVersion = softwareVersion;
    m_usualStart = usualStart;
    m_sentAt = now;
}

void AttemptSampler::eventsArrived(std::size_t count, Base::TimePoint now)
{
    if (m_events == 0)
        m_firstEventAt = now;
    m_lastEventAt = now;
    m_events += count;
}

std::optional<Routing::AnswerSample> AttemptSampler::end(AttemptOutcome outcome,
                                                         Base::TimePoint now)
{
    m_isRunning = false;
    Routing::AnswerSample sample;
    sample.isFailure = outcome == AttemptOutcome::ServerError || outcome == AttemptOutcome::Broken
                       || outcome == AttemptOutcome::Silent;
    if (sample.isFailure)
        return sample;
    if (outcome != AttemptOutcome::Served)
        return std::nullopt;
    const Base::Duration took = (m_events > 0 ? m_firstEventAt : now) - m_sentAt;
    const Base::Duration usual = std::max(m_usualStart, minUsualStart);
    sample.startCost = Milliseconds(took) / Milliseconds(usual);
    if (m_events >= minEvents)
        sample.eventMilliseconds = Milliseconds(m_lastEventAt - m_firstEventAt).count()
                                   / static_cast<double>(m_events - 1);
    return sample;
}

} // namespace Gateway
