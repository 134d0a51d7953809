#pragma once

#include "scheduling/concurrencylimiter.h"
#include "schedulingmodels/fakes.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <vector>

namespace SchedulingModels {

using Base::Milliseconds;
using namespace Scheduling;

/// Size, speed and delays of an engine; times are in milliseconds.
struct EngineShape
{
    std::uint64_t seed = 1;
    std::size_t slots = 32;
    /// Mean time of an answer; a single answer takes between a tenth and three times as long.
    std::int64_t meanAnswerTime = 800;
    /// Age of a load report when it arrives.
    std::int64_t reportLag = 400;
    std::int64_t roundTrip = 4;
    /// Error of load reports: each shows up to this many too few running requests, and one in ten
    /// shows twice this many too many queued ones.
    std::size_t noise = 0;
};

/// One engine that serves in order of arrival and its concurrency limiter, in steps of 1 ms. Work
/// always waits for a permit. Load reports are polled every 500 ms and show the load of
/// EngineShape::reportLag ago.
class EngineModel
{
public:
    explicit EngineModel(const EngineShape &shape)
        : shape(shape)
        , limiter(*ConcurrencyLimiter::create({}))
        , m_random(shape.seed)
    {}

    /// Runs for \a milliseconds after resetting busy, slotSteps and longestQueue.
    void run(std::int64_t milliseconds)
    {
        busy = 0;
        slotSteps = 0;
        longestQueue = 0;
        for (const std::int64_t endTime = m_now + milliseconds; m_now < endTime; ++m_now)
            step();
    }

    /// Returns the share of slots in use during the last run().
    double utilisation() const { return double(busy) / double(slotSteps); }

    EngineShape shape;
    ConcurrencyLimiter limiter;
    /// A frozen engine accepts requests and serves none.
    bool isFrozen = false;
    /// A failing engine fails every request after 1 ms.
    bool isFailing = false;
    /// Whether polls of the load reach the engine.
    bool isReachable = true;
    /// Factor on the time of answers.
    std::int64_t slowness = 1;
    /// Permits in use.
    std::size_t inUse = 0;
    /// Requests sent since the model was made.
    std::size_t sent = 0;
    /// Slots in use, summed over the steps of the last run().
    std::size_t busy = 0;
    /// All slots, summed over the steps of the last run().
    std::size_t slotSteps = 0;
    std::size_t longestQueue = 0;

private:
    struct Running
    {
        std::int64_t sentAt = 0;
        std::int64_t startedAt = 0;
        std::int64_t endsAt = 0;
    };

    void step()
    {
        if (!isFrozen)
            serve();
        for (auto it = m_answersInTransit.begin();
             it != m_answersInTransit.end() && it->first <= m_now;)
            it = releasePermit(it);
        busy += std::min(m_running.size(), shape.slots);
        slotSteps += shape.slots;
        longestQueue = std::max(longestQueue, m_queue.size());
        m_loadHistory.push_back({m_running.size(), m_queue.size()});
        if (m_loadHistory.size() > static_cast<std::size_t>(shape.reportLag) + 1)
            m_loadHistory.pop_front();
        if (m_now % 500 == 0)
            poll();
        if (m_now % 20 == 0)
            limiter.advance(inUse, at(m_now));
        for (; inUse < limiter.limit(); ++inUse, ++sent)
            m_requestsInTransit.emplace(m_now + shape.roundTrip / 2, m_now);
    }

    void serve()
    {
        for (std::size_t i = 0; i < m_running.size();) {
            if (m_running[i].endsAt > m_now) {
                ++i;
                continue;
            }
            m_answersInTransit.emplace(m_now + shape.roundTrip / 2, m_running[i]);
            m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(i));
        }
        while (!m_requestsInTransit.empty() && m_requestsInTransit.begin()->first <= m_now) {
            m_queue.push_back(m_requestsInTransit.begin()->second);
            m_requestsInTransit.erase(m_requestsInTransit.begin());
        }
        while (!m_queue.empty() && m_running.size() < shape.slots) {
            const std::int64_t percent = m_random() % 8 == 0 ? 300 : 10 + m_random() % 120;
            const std::int64_t answerTime =
                isFailing ? 1 : shape.meanAnswerTime * slowness * percent / 100;
            m_running.push_back(
                {m_queue.front(), m_now, m_now + std::max<std::int64_t>(1, answerTime)});
            m_queue.pop_front();
        }
    }

    /// Returns the permit of an answer that has arrived and reports it to the limiter.
    std::multimap<std::int64_t, Running>::iterator
    releasePermit(std::multimap<std::int64_t, Running>::iterator it)
    {
        PermitReport report;
        report.outcome = isFailing ? PermitOutcome::Failed : PermitOutcome::Completed;
        report.firstToken = Milliseconds(it->second.startedAt - it->second.sentAt + 60 * slowness
                                         + m_random() % 40);
        report.whole = Milliseconds(m_now - it->second.sentAt);
        limiter.recordPermit(report, inUse, at(m_now));
        --inUse;
        return m_answersInTransit.erase(it);
    }

    void poll()
    {
        if (!isReachable) {
            limiter.recordUnreachable(at(m_now));
            return;
        }
        LoadReport report = m_loadHistory.front();
        if (shape.noise > 0)
            report.running -= std::min(report.running, m_random() % (shape.noise + 1));
        if (shape.noise > 0 && m_random() % 10 == 0)
            report.queued += 2 * shape.noise;
        limiter.recordLoad(report, at(m_now));
    }

    std::mt19937_64 m_random;
    std::int64_t m_now = 0;
    std::vector<Running> m_running;
    /// When each queued request was sent.
    std::deque<std::int64_t> m_queue;
    /// When each request was sent, by its arrival at the engine.
    std::multimap<std::int64_t, std::int64_t> m_requestsInTransit;
    /// Ended requests by the arrival of their answer.
    std::multimap<std::int64_t, Running> m_answersInTransit;
    std::deque<LoadReport> m_loadHistory;
};

} // namespace SchedulingModels
