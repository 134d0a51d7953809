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

struct EngineShape
{
    std::uint64_t seed = 1;
    std::size_t slots = 32;
    /// Mean time that an answer takes; single ones take from a tenth to three times as long.
    std::int64_t meanWhole = 800;
    std::int64_t reportLag = 400;
    std::int64_t roundTrip = 4;
    /// Reports show up to this many running less, and now and then twice as many queued more.
    std::size_t noise = 0;
};

/// One engine that admits in order of arrival, with work always waiting for a permit, in steps
/// of 1 ms. Reports are polled every 500 ms and show the past.
class EngineModel
{
public:
    explicit EngineModel(const EngineShape &shape)
        : shape(shape)
        , limiter(*ConcurrencyLimiter::create({}))
        , m_random(shape.seed)
    {}

    void run(std::int64_t milliseconds)
    {
        busy = 0;
        offered = 0;
        longestQueue = 0;
        for (const std::int64_t until = m_now + milliseconds; m_now < until; ++m_now)
            step();
    }

    double utilisation() const { return double(busy) / double(offered); }

    EngineShape shape;
    ConcurrencyLimiter limiter;
    bool isFrozen = false;
    bool isFailing = false;
    bool isReachable = true;
    std::int64_t slowness = 1;
    std::size_t inUse = 0;
    std::size_t sent = 0;
    std::size_t busy = 0;
    std::size_t offered = 0;
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
        for (auto it = m_ended.begin(); it != m_ended.end() && it->first <= m_now;)
            it = release(it);
        busy += std::min(m_running.size(), shape.slots);
        offered += shape.slots;
        longestQueue = std::max(longestQueue, m_queue.size());
        m_past.push_back({m_running.size(), m_queue.size()});
        if (m_past.size() > static_cast<std::size_t>(shape.reportLag) + 1)
            m_past.pop_front();
        if (m_now % 500 == 0)
            poll();
        if (m_now % 20 == 0)
            limiter.advance(inUse, at(m_now));
        for (; inUse < limiter.limit(); ++inUse, ++sent)
            m_arriving.emplace(m_now + shape.roundTrip / 2, m_now);
    }

    void serve()
    {
        for (std::size_t i = 0; i < m_running.size();) {
            if (m_running[i].endsAt > m_now) {
                ++i;
                continue;
            }
            m_ended.emplace(m_now + shape.roundTrip / 2, m_running[i]);
            m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(i));
        }
        while (!m_arriving.empty() && m_arriving.begin()->first <= m_now) {
            m_queue.push_back(m_arriving.begin()->second);
            m_arriving.erase(m_arriving.begin());
        }
        while (!m_queue.empty() && m_running.size() < shape.slots) {
            const std::int64_t part = m_random() % 8 == 0 ? 300 : 10 + m_random() % 120;
            const std::int64_t whole = isFailing ? 1 : shape.meanWhole * slowness * part / 100;
            m_running.push_back({m_queue.front(), m_now, m_now + std::max<std::int64_t>(1, whole)});
            m_queue.pop_front();
        }
    }

    std::multimap<std::int64_t, Running>::iterator
    release(std::multimap<std::int64_t, Running>::iterator it)
    {
        PermitReport report;
        report.outcome = isFailing ? PermitOutcome::Failed : PermitOutcome::Completed;
        report.firstToken = Milliseconds(it->second.startedAt - it->second.sentAt + 60 * slowness
                                         + m_random() % 40);
        report.whole = Milliseconds(m_now - it->second.sentAt);
        limiter.recordPermit(report, inUse, at(m_now));
        --inUse;
        return m_ended.erase(it);
    }

    void poll()
    {
        if (!isReachable) {
            limiter.recordUnreachable(at(m_now));
            return;
        }
        LoadReport report = m_past.front();
        if (shape.noise > 0)
            report.running -= std::min(report.running, m_random() % (shape.noise + 1));
        if (shape.noise > 0 && m_random() % 10 == 0)
            report.queued += 2 * shape.noise;
        limiter.recordLoad(report, at(m_now));
    }

    std::mt19937_64 m_random;
    std::int64_t m_now = 0;
    std::vector<Running> m_running;
    std::deque<std::int64_t> m_queue;
    std::multimap<std::int64_t, std::int64_t> m_arriving;
    std::multimap<std::int64_t, Running> m_ended;
    std::deque<LoadReport> m_past;
};

} // namespace SchedulingModels
