#pragma once

#include "base/time.h"
#include "measure/workload.h"
#include "virtualfleet/eventqueue.h"
#include "virtualfleet/modelserver.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Measure {

/// Fairness gap over all samples, in weighted tokens.
struct GapFigures
{
    double largest = 0;
    double percentile99 = 0;
};

/// Samples the service of the customers, their backlog and the use of the servers every 20 ms.
class Meter
{
public:
    Meter(VirtualFleet::EventQueue &queue, const Workload &workload,
          std::vector<const VirtualFleet::ModelServer *> servers);

    /// Adds \a units to the service that the customer of \a work received.
    void served(const VirtualFleet::Work &work, Base::ServiceUnits units);
    /// Takes the first sample and schedules the next ones.
    void start();

    /// Returns the difference of the service that any two customers received while both stayed
    /// backlogged, in weighted tokens.
    GapFigures gap() const;
    /// Returns the share of slots in use, over the samples in which any request waited; 1 if none
    /// waited.
    double utilisationWhileWaiting() const;
    /// Returns the share of slots in use over all samples.
    double meanUtilisation() const;
    /// Returns the share of samples in which any request waited.
    double waitingShare() const;
    /// Returns the service that each customer received, in weighted tokens.
    const std::vector<Base::ServiceUnits> &service() const { return m_service; }

private:
    /// Two customers, and the range of the first one's lead in service since both are backlogged.
    struct Pair
    {
        bool areBacklogged = false;
        double smallestLead = 0;
        double largestLead = 0;
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
