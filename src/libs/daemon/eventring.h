#pragma once

#include "base/boundedring.h"
#include "node/event.h"

namespace Daemon {

/// Carries the events from all threads that receive input to the core's thread. The core's thread
/// pops and never pushes, so that no push waits forever.
using EventRing = Base::BoundedRing<Node::Event>;

} // namespace Daemon
