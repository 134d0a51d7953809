#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "node/peermessage.h"

#include <string>

namespace Node {

/// Sends messages to other routers. Delivery is not reliable: a message may be lost, late or
/// duplicated, and the node handles each case.
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    virtual void send(const Base::HostId &to, const std::string &address,
                      const PeerMessage &message) = 0;
    /// Factor, at least 1, by which deferrable periodic messages must lengthen their interval now
    /// to stay within the traffic budget.
    virtual double stretch(Base::TimePoint) const { return 1; }
};

} // namespace Node
