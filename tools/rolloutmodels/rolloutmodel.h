#pragma once

#include "base/time.h"
#include "routing/rolloutdecision.h"
#include "routing/rollouttraffic.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace RolloutModels {

/// How the new version of a scenario is bad.
enum class Badness {
    None,
    Failures,  ///< A part of its answers are failures.
    Slow,      ///< A part of its answers come several times slower.
    Later,     ///< It fails a part of its answers, but only from a later time on.
    UnderLoad, ///< It answers slowly while a server has nearly its usual load.
    OneRoute,  ///< It fails a part of its answers on the rarest route.
};

struct Scenario
{
    Badness badness = Badness::None;
    std::size_t hosts = 20;
    std::size_t servers = 30;
    Base::Milliseconds duration{20000};
    /// Requests per second on each route.
    std::vector<double> routes{120, 60, 12};
    /// The share of answers that are bad while the version is bad, and how many times longer slow
    /// ones take.
    double badShare = 0.3;
    double slowness = 4;
    /// The time at which a version that is bad later begins to be.
    Base::Milliseconds badFrom{6000};
    /// The share of the old version's answers that fail all the time.
    double usualFailures = 0.01;
    /// From \a disturbedFrom on, for three seconds, both versions fail this share of their answers
    /// more.
    double disturbance = 0;
    Base::Milliseconds disturbedFrom{5000};
    /// Hosts that hear nothing of the others from the given time on.
    std::size_t cutHosts = 0;
    Base::Milliseconds cutFrom{2000};
    std::uint64_t seed = 1;
};

/// Draws a scenario of the given kind.
Scenario drawn(Badness badness, std::uint64_t seed);

/// Decides on the phases, for a comparison of ways to decide.
class Policy
{
public:
    virtual ~Policy() = default;
    virtual std::optional<Routing::RolloutPhase> advance(const Routing::RolloutInput &input,
                                                         Base::TimePoint now) = 0;
    virtual void enter(const Routing::RolloutState &state, Base::TimePoint now) = 0;
};

/// The way of the product.
std::unique_ptr<Policy> sequentialTest(const Routing::RolloutState &state, Base::TimePoint now);
/// A fixed share until half of the time, then one comparison of each route's failures and slow
/// answers, and all requests at once.
std::unique_ptr<Policy> singleTest(const Routing::RolloutState &state, Base::TimePoint now);

struct Result
{
    Routing::RolloutPhase phase = Routing::RolloutPhase::Testing;
    /// When the last phase began, since the order.
    Base::Duration at{};
    /// Requests of all kinds in the order's time, and those that the new version got.
    double requests = 0;
    double exposed = 0;
    /// Requests that the new version got later than the time to stop it after its fiftieth bad
    /// answer.
    double late = 0;

    /// Whether the new version got no more than the bounds allow.
    bool isWithin(const Routing::RolloutBounds &bounds) const
    {
        return exposed <= bounds.exposureShare * requests + bounds.exposureSlack && late == 0;
    }
};

using MakePolicy = std::unique_ptr<Policy> (*)(const Routing::RolloutState &, Base::TimePoint);

/// Plays a roll-out in virtual time: hosts that share the requests, reports that take some tenths
/// of a second, servers of both versions.
Result play(const Scenario &scenario, const Routing::RolloutBounds &bounds, MakePolicy makePolicy);

} // namespace RolloutModels
