#pragma once

#include "measure/meter.h"
#include "measure/submitter.h"
#include "measure/workload.h"
#include "virtualfleet/fleet.h"

#include <vector>

namespace Fakes {

/// Submits the requests of a workload to the routers of a virtual fleet.
class FleetSubmitter final : public Measure::Submitter
{
public:
    explicit FleetSubmitter(VirtualFleet::Fleet &fleet)
        : m_fleet(&fleet)
    {}
    void submit(std::size_t router, const Node::CallerRequest &request) override
    {
        // Callers of a router that is down connect to the next one.
        while (!m_fleet->router(router))
            router = (router + 1) % m_fleet->routers();
        m_fleet->submit(router, request);
    }

private:
    VirtualFleet::Fleet *m_fleet;
};

/// A virtual fleet with a workload and a meter. The constructor runs the fleet until all routers
/// are ready and the workload has run for two seconds; the meter starts after that.
class LoadedFleet
{
public:
    LoadedFleet(const VirtualFleet::FleetShape &shape, const Measure::WorkloadShape &load)
        : fleet(shape)
        , m_submitter(fleet)
        , workload(load, fleet.queue(), m_submitter)
        , meter(fleet.queue(), workload, serversOf(fleet))
    {
        fleet.runFor(std::chrono::seconds(3));
        fleet.setListener(&workload);
        for (auto &[id, server] : fleet.servers()) {
            server->onService([this](const VirtualFleet::Work &work, Base::ServiceUnits units) {
                meter.served(work, units);
            });
            server->onStart(
                [this](const VirtualFleet::Work &work) { workload.startedAtServer(work.serial); });
        }
        workload.start();
        fleet.runFor(std::chrono::seconds(2));
        meter.start();
    }
    ~LoadedFleet()
    {
        for (auto &[id, server] : fleet.servers()) {
            server->onService({});
            server->onStart({});
        }
    }

    VirtualFleet::Fleet fleet;

private:
    static std::vector<const VirtualFleet::ModelServer *> serversOf(VirtualFleet::Fleet &fleet)
    {
        std::vector<const VirtualFleet::ModelServer *> list;
        for (const auto &[id, server] : fleet.servers())
            list.push_back(server.get());
        return list;
    }

    FleetSubmitter m_submitter;

public:
    Measure::Workload workload;
    Measure::Meter meter;
};

} // namespace Fakes
