#pragma once

#include "base/time.h"
#include "measure/workload.h"
#include "virtualfleet/eventqueue.h"
#include "virtualfleet/modelserver.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Measure {

struct GapFigures
{
    double largest = 0;
    double percentile99 = 0;
};

/// Samples service, backlog and use of the servers at a fixed interval.
class Meter
{
public:
    Meter(VirtualFleet::EventQueue &queue, const Workload &workload,
          std::vector<const VirtualFleet::ModelServer *> servers);

    void served(const VirtualFleet::Work &work, Base::ServiceUnits units);
    void start();

    /// Between any two customers that stayed backlogged, in weighed tokens.
    GapFigures gap() const;
    /// Busy share of all slots over the samples in which any work waited.
    double utilisationWhileWaiting() const;
    double meanUtilisation() const;
    /// Share of samples in which work waited.
    double waitingShare() const;
    const std::vector<Base::ServiceUnits> &service() const { return m_service; }

private:
    struct Pair
    {
        bool isOpen = false;
        double low = 0;
        double high = 0;
    };

    void sample();
    void sampleGaps();

    VirtualFleet::EventQueue *m_queue;
    const Workload *m_workload;
    std::vector<const VirtualFleet::ModelServer *> m_servers;
    std::map<Base::CustomerId, std::size_t> m_indexOf;
    std::vector<Base::ServiceUnits> m_service;
    std::vector<std::vector<Pair>> m_pairs;
    std::vector<float> m_gaps;
    double m_busyWhileWaiting = 0;
    double m_slotsWhileWaiting = 0;
    double m_busy = 0;
    double m_slots = 0;
    std::uint64_t m_samples = 0;
    std::uint64_t m_waitingSamples = 0;
};

} // namespace Measure
