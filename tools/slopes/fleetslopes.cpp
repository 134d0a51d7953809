#include "measure/scenario.h"
#include "slopes/instruments.h"
#include "slopes/measurements.h"
#include "virtualfleet/fleet.h"

#include <ctime>

namespace Slopes {

namespace {

using namespace std::chrono_literals;

/// Virtual time before and during a measurement.
constexpr std::chrono::seconds warmUp{5};
constexpr std::chrono::seconds measuredTime{5};

/// Passes the requests of a workload to a virtual fleet.
class FleetSubmitter final : public Measure::Submitter
{
public:
    explicit FleetSubmitter(VirtualFleet::Fleet &fleet)
        : m_fleet(&fleet)
    {}
    void submit(std::size_t router, const Node::CallerRequest &request) override
    {
        m_fleet->submit(router, request);
    }

private:
    VirtualFleet::Fleet *m_fleet;
};

/// Returns the bytes that all routers have sent to one another.
std::uint64_t bytesSent(VirtualFleet::Fleet &fleet)
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < fleet.routers(); ++i)
        sum += fleet.router(i)->bytesSent();
    return sum;
}

/// Reports processor time and bytes for each router and virtual second. The time is that of the
/// whole process, which also runs the virtual network, table and servers, so it is an upper bound.
void measureRun(const Report &report, VirtualFleet::Fleet &fleet, const std::string &sizes)
{
    const auto routerSeconds =
        static_cast<double>(fleet.routers()) * static_cast<double>(measuredTime.count());
    const std::uint64_t before = bytesSent(fleet);
    const std::clock_t start = std::clock();
    fleet.runFor(measuredTime);
    const double processorMicroseconds =
        static_cast<double>(std::clock() - start) * 1e6 / CLOCKS_PER_SEC;
    report.add({"node core processor", sizes, processorMicroseconds / routerSeconds, "us/s"});
    report.add({"node core traffic", sizes,
                static_cast<double>(bytesSent(fleet) - before) / routerSeconds, "B/s"});
}

void measureIdle(const Report &report, std::size_t routers, std::uint64_t seed)
{
    VirtualFleet::FleetShape fleetShape;
    fleetShape.routers = routers;
    fleetShape.seed = seed;
    fleetShape.groups = {{Base::PoolId("model/writer"), routers * 5 / 2, {}}};
    VirtualFleet::Fleet fleet(fleetShape);
    fleet.setMessageSize(wireSize);
    fleet.runFor(warmUp);
    measureRun(report, fleet, "idle " + sizeLabel("routers", routers));
}

void measureLoaded(const Report &report, const std::string &name, std::uint64_t seed)
{
    const auto scenario = Measure::scenarioByName(name, seed);
    VirtualFleet::Fleet fleet(scenario->fleet);
    fleet.setMessageSize(wireSize);
    fleet.runFor(3s);
    FleetSubmitter submitter(fleet);
    Measure::Workload workload(scenario->workload, fleet.queue(), submitter);
    fleet.setListener(&workload);
    workload.start();
    fleet.runFor(warmUp);
    const std::uint64_t before = workload.finishedRequests();
    measureRun(report, fleet, name);
    const auto finished = static_cast<double>(workload.finishedRequests() - before);
    report.add(
        {"requests finished", name, finished / static_cast<double>(measuredTime.count()), "1/s"});
    fleet.setListener(nullptr);
}

} // namespace

void measureFleet(const Report &report, std::uint64_t seed)
{
    for (const std::size_t routers : {8, 32, 39, 128})
        measureIdle(report, routers, seed);
    for (const char *name : {"exchange", "routers32", "routers128"})
        measureLoaded(report, name, seed);
}

} // namespace Slopes
