#include "measure/scenario.h"

#include <algorithm>

namespace Measure {

namespace {

using Base::Milliseconds;

/// Requests a second for each slot of a customer's fair share: about a fifth of what the share
/// could run with the mix of both users.
constexpr double lightRateForShare = 0.05;

const std::string modelName = "writer";

/// How the callers of the customers are spread over the routers.
enum class Spread {
    CrowdedAndQuiet, ///< A few large customers sit on two routers, the small ones on others.
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

std::vector<std::size_t> routersOf(std::size_t customer, std::size_t large, std::size_t routers,
                                   Spread spread)
{
    std::vector<std::size_t> chosen;
    if (spread == Spread::Even) {
        for (std::size_t i = 0; i < routers; ++i)
            chosen.push_back(i);
        return chosen;
    }
    const std::size_t crowded = std::max<std::size_t>(routers / 4, 1);
    if (customer < large)
        return {customer % crowded};
    const std::size_t quiet = routers - crowded;
    chosen.push_back(crowded + customer % quiet);
    chosen.push_back(crowded + (customer + 1) % quiet);
    return chosen;
}

Scenario build(const std::string &name, std::size_t routers, std::size_t zones, std::size_t servers,
               std::size_t customers, const std::vector<WorkKind> &kinds, Spread spread,
               std::uint64_t seed)
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
    const std::size_t large = std::max<std::size_t>(customers / 5, 1);
    const std::size_t allSlots = servers * slots;
    for (std::size_t i = 0; i < customers; ++i) {
        CustomerShape customer;
        customer.customer = Base::CustomerId("customer" + std::to_string(i));
        customer.routers = routersOf(i, large, routers, spread);
        customer.targets = {modelName};
        // A large customer alone could fill the pool; a small one keeps twice its fair share
        // of the slots asked for, so that it too stays backlogged.
        const std::size_t share = std::max<std::size_t>(allSlots / customers, 1);
        // The last quarter asks for far less than its share: for it the targets are meant.
        const bool isLight = i >= customers - customers / 4;
        customer.openRequests = i < large ? allSlots : 2 * share + 4;
        if (isLight) {
            customer.openRequests = 0;
            customer.requestsPerSecond = static_cast<double>(share) * lightRateForShare;
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
        return build(name, 8, 4, 20, 16, exchangeKinds(), Spread::CrowdedAndQuiet, seed);
    if (name == "convergencia")
        return build(name, 6, 3, 10, 16, convergenciaKinds(), Spread::CrowdedAndQuiet, seed);
    if (name == "routers32")
        return build(name, 32, 4, 80, 32, exchangeKinds(), Spread::CrowdedAndQuiet, seed);
    if (name == "routers128")
        return build(name, 128, 4, 320, 64, exchangeKinds(), Spread::CrowdedAndQuiet, seed);
    return std::nullopt;
}

} // namespace Measure
