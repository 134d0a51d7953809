#include "measure/meter.h"

#include <algorithm>
#include <utility>

namespace Measure {

namespace {

constexpr Base::Duration sampleInterval = std::chrono::milliseconds(20);

} // namespace

Meter::Meter(VirtualFleet::EventQueue &queue, const Workload &workload,
             std::vector<const VirtualFleet::ModelServer *> servers)
    : m_queue(&queue)
    , m_workload(&workload)
    , m_servers(std::move(servers))
    , m_service(workload.customers(), 0)
    , m_pairs(workload.customers(), std::vector<Pair>(workload.customers()))
{
    for (std::size_t i = 0; i < workload.customers(); ++i)
        m_indexOf[workload.shape().customers[i].customer] = i;
}

void Meter::served(const VirtualFleet::Work &work, Base::ServiceUnits units)
{
    m_service[m_indexOf.at(work.customer)] += units;
}

void Meter::start()
{
    sample();
}

void Meter::sample()
{
    double busy = 0;
    double slots = 0;
    for (const VirtualFleet::ModelServer *server : m_servers) {
        busy += static_cast<double>(server->running());
        slots += static_cast<double>(server->slots());
    }
    ++m_samples;
    m_busy += busy;
    m_slots += slots;
    if (m_workload->totalWaiting() > 0) {
        ++m_waitingSamples;
        m_busyWhileWaiting += busy;
        m_slotsWhileWaiting += slots;
    }
    sampleGaps();
    m_queue->after(sampleInterval, [this] { sample(); });
}

void Meter::sampleGaps()
{
    const std::vector<std::size_t> &waiting = m_workload->waiting();
    for (std::size_t a = 0; a < m_service.size(); ++a) {
        for (std::size_t b = a + 1; b < m_service.size(); ++b) {
            Pair &pair = m_pairs[a][b];
            const double lead =
                static_cast<double>(m_service[a]) - static_cast<double>(m_service[b]);
            if (waiting[a] == 0 || waiting[b] == 0) {
                pair.areBacklogged = false;
                continue;
            }
            if (!pair.areBacklogged)
                pair = {true, lead, lead};
            pair.smallestLead = std::min(pair.smallestLead, lead);
            pair.largestLead = std::max(pair.largestLead, lead);
            m_gaps.push_back(
                static_cast<float>(std::max(lead - pair.smallestLead, pair.largestLead - lead)));
        }
    }
}

GapFigures Meter::gap() const
{
    if (m_gaps.empty())
        return {};
    std::vector<float> sorted = m_gaps;
    const auto at99 = sorted.begin() + static_cast<std::ptrdiff_t>((sorted.size() - 1) * 99 / 100);
    std::nth_element(sorted.begin(), at99, sorted.end());
    GapFigures figures;
    figures.percentile99 = *at99;
    figures.largest = *std::max_element(at99, sorted.end());
    return figures;
}

double Meter::utilisationWhileWaiting() const
{
    return m_slotsWhileWaiting == 0 ? 1 : m_busyWhileWaiting / m_slotsWhileWaiting;
}

double Meter::meanUtilisation() const
{
    return m_slots == 0 ? 0 : m_busy / m_slots;
}

double Meter::waitingShare() const
{
    return m_samples == 0 ? 0
                          : static_cast<double>(m_waitingSamples) / static_cast<double>(m_samples);
}

} // namespace Measure
