#include "routing/serverpace.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

using std::chrono::milliseconds;

/// The half-life of what hosts observe and report.
constexpr Base::Duration observationHalfLife = std::chrono::seconds(2);
/// The half-life of what a host remembers of the reports. It averages over what the neighbours of
/// a server on its machine do for some hundred milliseconds.
constexpr Base::Duration memoryHalfLife = std::chrono::seconds(3);
/// The bounds of one observation, as ratio of actual to expected time.
constexpr double minObservedRatio = 0.25;
constexpr double maxObservedRatio = 8;
constexpr double minPace = 1.0 / 3;
constexpr double maxPace = 4;
/// The time until the first event that does not depend on the prompt: a step of the engine, and the
/// way there and back.
constexpr double fixedMilliseconds = 40;
/// The expected time for which a server of which nothing is known counts as usual: that of about
/// three requests.
constexpr double priorMilliseconds = 300;

/// The most expected time of one server that counts, so that no single figure decides what is
/// usual.
constexpr double maxExpectedMilliseconds = 30000;
/// Servers with less expected time are forgotten.
constexpr double forgottenMilliseconds = 1;

double keptShare(Base::Duration span, Base::Duration halfLife)
{
    return std::exp2(-static_cast<double>(span.count()) / static_cast<double>(halfLife.count()));
}

StartTimes bounded(const StartTimes &times)
{
    const double expected = std::clamp(times.expected, 0.0, maxExpectedMilliseconds);
    return {std::clamp(times.took, expected * minObservedRatio, expected * maxObservedRatio),
            expected};
}

double inMilliseconds(Base::Duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace

void StartTimeSum::record(Base::Duration took, Base::Duration expected, Base::TimePoint now)
{
    const double expectedMs = inMilliseconds(expected) + fixedMilliseconds;
    m_sum = value(now);
    m_at = now;
    m_sum.took += std::clamp(inMilliseconds(took), expectedMs * minObservedRatio,
                             expectedMs * maxObservedRatio);
    m_sum.expected += expectedMs;
}

StartTimes StartTimeSum::value(Base::TimePoint now) const
{
    const double kept = keptShare(now - m_at, observationHalfLife);
    return {m_sum.took * kept, m_sum.expected * kept};
}

void ServerPace::update(const std::map<Base::ServerId, StartTimes> &times, Base::TimePoint now)
{
    const double kept = m_updatedAt ? keptShare(now - *m_updatedAt, memoryHalfLife) : 0;
    m_updatedAt = now;
    for (auto &[server, memory] : m_times)
        memory = {memory.took * kept, memory.expected * kept};
    for (const auto &[server, recent] : times) {
        const StartTimes plausible = bounded(recent);
        StartTimes &memory = m_times[server];
        memory.took += plausible.took * (1 - kept);
        memory.expected += plausible.expected * (1 - kept);
    }
    std::erase_if(m_times,
                  [](const auto &it) { return it.second.expected < forgottenMilliseconds; });
    StartTimes all;
    for (const auto &[server, memory] : m_times) {
        all.took += memory.took;
        all.expected += memory.expected;
    }
    m_usual = all.expected > 0 ? all.took / all.expected : 1;
}

double ServerPace::pace(const Base::ServerId &server) const
{
    const auto it = m_times.find(server);
    if (it == m_times.end() || m_usual <= 0)
        return 1;
    const StartTimes &times = it->second;
    const double ratio =
        (times.took + priorMilliseconds * m_usual) / (times.expected + priorMilliseconds) / m_usual;
    return std::clamp(ratio, minPace, maxPace);
}

} // namespace Routing
