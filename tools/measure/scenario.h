#pragma once

#include "measure/workload.h"
#include "virtualfleet/fleetshape.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Measure {

/// A fleet and the load on it.
struct Scenario
{
    std::string name;
    VirtualFleet::FleetShape fleet;
    WorkloadShape workload;
};

/// Returns the names that scenarioByName() knows.
std::vector<std::string> scenarioNames();
/// Returns nothing if there is no scenario \a name. \a seed is that of the fleet and of the
/// workload.
std::optional<Scenario> scenarioByName(const std::string &name, std::uint64_t seed);

} // namespace Measure
