#pragma once

#include "base/ids.h"
#include "node/peermessage.h"

namespace Node {

/// Where the parts of a node leave messages for routers, this one included.
class Outbox
{
public:
    virtual ~Outbox() = default;
    virtual void post(const Base::HostId &to, const PeerMessage &message) = 0;
};

} // namespace Node
