#pragma once

#include "base/ids.h"
#include "node/peermessage.h"

#include <string>

namespace Node {

/// Carries messages between routers. Delivery is not certain: a message may be lost, late or
/// doubled, and the node copes with each.
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    virtual void send(const Base::HostId &to, const std::string &address,
                      const PeerMessage &message) = 0;
};

} // namespace Node
