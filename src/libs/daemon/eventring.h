#pragma once

#include "base/boundedring.h"
#include "node/event.h"

namespace Daemon {

/// Joins every thread that hears from outside to the core's thread. The core pops and never
/// pushes, so that no push waits for ever.
using EventRing = Base::BoundedRing<Node::Event>;

} // namespace Daemon
