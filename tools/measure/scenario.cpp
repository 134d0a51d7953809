#include "measure/scenario.h"

#include <algorithm>

namespace Measure {

namespace {

using Base::Milliseconds;

/// Requests a second of a light customer for each slot of its fair share. With either mix of work
/// kinds below, that is about a fifth of what the share could serve.
constexpr double lightRequestsPerSecondPerSlot = 0.05;

const std::string modelName = "writer";

/// How the callers of the customers are distributed over the routers.
enum class CallerDistribution {
    /// Each large customer uses one router of the first quarter, each small one two of the others.
    Skewed,
    /// Every customer uses all routers.
    Even,
};

std::vector<WorkKind> exchangeKinds()
{
    return {{Base::ClassId("tags"), Milliseconds(800), 300, 20, 0.5},
            {Base::ClassId("replies"), Milliseconds(1500), 500, 150, 0.35},
            {Base::ClassId("summaries"), Milliseconds(4000), 3000, 600, 0.15}};
}

std::vector<WorkKind> convergenciaKinds()
{
    return {{Base::ClassId("invoices"), Milliseconds(1000), 800, 30, 0.5},
            {Base::ClassId("answers"), Milliseconds(1500), 600, 200, 0.3},
            {Base::ClassId("grants"), Milliseconds(5000), 4000, 800, 0.2}};
}

std::vector<std::size_t> routersOf(std::size_t customer, std::size_t largeCustomers,
                                   std::size_t routers, CallerDistribution distribution)
{
    std::vector<std::size_t> indices;
    if (distribution == CallerDistribution::Even) {
        for (std::size_t i = 0; i < routers; ++i)
            indices.push_back(i);
        return indices;
    }
    const std::size_t busyRouters = std::max<std::size_t>(routers / 4, 1);
    if (customer < largeCustomers)
        return {customer % busyRouters};
    const std::size_t otherRouters = routers - busyRouters;
    indices.push_back(busyRouters + customer % otherRouters);
    indices.push_back(busyRouters + (customer + 1) % otherRouters);
    return indices;
}

Scenario build(const std::string &name, std::size_t routers, std::size_t zones, std::size_t servers,
               std::size_t customers, const std::vector<WorkKind> &kinds,
               CallerDistribution distribution, std::uint64_t seed)
{
    constexpr std::size_t slots = 8;
    Scenario scenario;
    scenario.name = name;
    scenario.fleet.routers = routers;
    scenario.fleet.zones = zones;
    scenario.fleet.seed = seed;
    VirtualFleet::EngineShape engine;
    engine.slots = slots;
    scenario.fleet.groups = {{Base::PoolId("model/" + modelName), servers, engine}};
    for (const WorkKind &kind : kinds)
        scenario.fleet.targets.push_back({kind.workClass, kind.startWithin, std::nullopt});
    scenario.workload.kinds = kinds;
    scenario.workload.seed = seed;
    const std::size_t largeCustomers = std::max<std::size_t>(customers / 5, 1);
    const std::size_t totalSlots = servers * slots;
    for (std::size_t i = 0; i < customers; ++i) {
        CustomerShape customer;
        customer.customer = Base::CustomerId("customer" + std::to_string(i));
        customer.routers = routersOf(i, largeCustomers, routers, distribution);
        customer.targets = {modelName};
        // A large customer keeps enough requests open to fill the pool alone. A small one keeps
        // twice its fair share of the slots and four more, so that it stays backlogged too.
        const std::size_t fairSlots = std::max<std::size_t>(totalSlots / customers, 1);
        // The last quarter of the customers asks for far less than its fair share. The start
        // targets are promised to such customers.
        const bool isLight = i >= customers - customers / 4;
        customer.openRequests = i < largeCustomers ? totalSlots : 2 * fairSlots + 4;
        if (isLight) {
            customer.openRequests = 0;
            customer.requestsPerSecond =
                static_cast<double>(fairSlots) * lightRequestsPerSecondPerSlot;
        }
        scenario.workload.customers.push_back(customer);
        scenario.fleet.customers.push_back(customer.customer);
    }
    return scenario;
}

} // namespace

std::vector<std::string> scenarioNames()
{
    return {"exchange", "convergencia", "routers32", "routers128"};
}

std::optional<Scenario> scenarioByName(const std::string &name, std::uint64_t seed)
{
    if (name == "exchange")
        return build(name, 8, 4, 20, 16, exchangeKinds(), CallerDistribution::Skewed, seed);
    if (name == "convergencia")
        return build(name, 6, 3, 10, 16, convergenciaKinds(), CallerDistribution::Skewed, seed);
    if (name == "routers32")
        return build(name, 32, 4, 80, 32, exchangeKinds(), CallerDistribution::Skewed, seed);
    if (name == "routers128")
        return build(name, 128, 4, 320, 64, exchangeKinds(), CallerDistribution::Skewed, seed);
    return std::nullopt;
}

} // namespace Measure
