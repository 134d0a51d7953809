#pragma once

#include "base/time.h"
#include "routing/routingconfiguration.h"

#include <optional>

namespace Gateway {

/// The state of an attempt whose server sends nothing.
struct SilentAttempt
{
    const Routing::Route &route;
    /// The expected time from sending the request to the first event.
    Base::Duration expectedStart{};
    /// Whether the server has sent an event of the stream.
    bool isStarted = false;
    /// The time since the server sent something for this attempt, or since it was sent.
    Base::Duration silence{};
    /// The time since the server sent something for any request; empty if it never has.
    std::optional<Base::Duration> serverQuiet;
};

/// Returns whether an attempt has been silent for so long that its request should be sent to
/// another server.
bool isTooSilent(const SilentAttempt &attempt);

} // namespace Gateway
