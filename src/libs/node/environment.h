#pragma once

#include "base/random.h"
#include "base/time.h"
#include "node/backendclient.h"
#include "node/callersink.h"
#include "node/nodeobserver.h"
#include "node/peertransport.h"
#include "storage/objectstore.h"
#include "storage/tableservice.h"

namespace Node {

/// Provides calendar time. It is used for the leases and the retention of claims, whose times are
/// stored in the table and compared by other routers.
class WallClock
{
public:
    virtual ~WallClock() = default;
    virtual Base::WallTime now() const = 0;
};

/// All external interfaces of a node. The objects must outlive the node.
struct Environment
{
    CallerSink &callers;
    PeerTransport &peers;
    BackendClient &backends;
    Storage::TableService &table;
    Storage::ObjectStore &objects;
    NodeObserver &observer;
    Base::RandomSource &random;
    const WallClock &wallClock;
};

} // namespace Node
