#pragma once

#include "measure/workload.h"
#include "virtualfleet/fleetshape.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Measure {

/// A deployment and the load on it.
struct Scenario
{
    std::string name;
    VirtualFleet::FleetShape fleet;
    WorkloadShape workload;
};

/// Names that scenarioByName() knows.
std::vector<std::string> scenarioNames();
std::optional<Scenario> scenarioByName(const std::string &name, std::uint64_t seed);

} // namespace Measure
