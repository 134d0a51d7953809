#pragma once

#include "base/ids.h"
#include "base/time.h"
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
    /// At least 1; by how much exchanges that can wait are to stretch their interval now.
    virtual double stretch(Base::TimePoint) const { return 1; }
};

} // namespace Node
