#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Routing {

/// The operator's order to move the traffic of a service to servers of another software version,
/// which serve beside the old ones.
struct RolloutOrder
{
    std::string service;
    /// The version that the traffic is to move to.
    std::string version;
    /// The time within which the move is to be complete; 0 if the order states no usable time.
    Base::Milliseconds duration{0};
    /// The version of the store at which the order was written. No two orders have the same.
    std::uint64_t revision = 0;

    /// Returns whether the order states all that is needed to carry it out.
    bool isUsable() const
    {
        return !service.empty() && !version.empty() && duration > Base::Milliseconds(0);
    }
    bool operator==(const RolloutOrder &) const = default;
};

enum class RolloutPhase : std::uint8_t {
    Testing,    ///< A small part of the requests goes to the new version.
    Moving,     ///< The requests move to the new version. It is still compared with the old one.
    Completed,  ///< All requests go to the new version; the old servers stop.
    RolledBack, ///< The new version gets no requests.
};

/// Returns whether the phase is never left again.
inline bool isFinal(RolloutPhase phase)
{
    return phase == RolloutPhase::Completed || phase == RolloutPhase::RolledBack;
}

const char *nameOf(RolloutPhase phase);

/// The state of a roll-out, as one host has decided it and the store holds it.
struct RolloutState
{
    RolloutOrder order;
    RolloutPhase phase = RolloutPhase::Testing;
    /// The versions that served when the order was found.
    std::vector<std::string> oldVersions;
    /// The times, by the store's clock, at which the order was found and the phase began.
    Base::Milliseconds orderedAt{0};
    Base::Milliseconds phaseBeganAt{0};
    /// The version of the store at which this state was written. The store never decreases it, so
    /// of two states of a service the one with the higher revision is the newer one.
    std::uint64_t revision = 0;

    bool operator==(const RolloutState &) const = default;
};

/// Bounds on what a bad version may get, and on the time to stop it.
struct RolloutBounds
{
    /// The share of a service's requests that a bad version may get between the order and its
    /// deadline, and the number of requests that it may get beyond that.
    double exposureShare = 0.1;
    double exposureSlack = 50;
    /// The time from the evidence that a version is bad until it gets no more requests.
    Base::Milliseconds rollBack{5000};

    bool operator==(const RolloutBounds &) const = default;
};

} // namespace Routing
