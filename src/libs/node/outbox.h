#pragma once

#include "base/ids.h"
#include "node/peermessage.h"

namespace Node {

/// Accepts messages of the node's components to routers. A message to this router is delivered
/// locally.
class Outbox
{
public:
    virtual ~Outbox() = default;
    virtual void post(const Base::HostId &to, const PeerMessage &message) = 0;
};

} // namespace Node
