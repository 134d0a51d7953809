#pragma once

#include "base/time.h"
#include "gateway/eventlog.h"
#include "routing/serverset.h"

namespace Gateway {

/// Writes which backend servers came, leave or are gone to \a log, one line for each of them.
///
/// A host that starts learns of all servers of the deployment at once. If there are many changes of
/// a kind, only the first servers are named and another line tells how many there were.
void logServerChanges(EventLog &log, const Routing::ServerChanges &changes, Base::TimePoint now);

} // namespace Gateway
