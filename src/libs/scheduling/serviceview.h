#pragma once

#include "base/ids.h"

namespace Scheduling {

/// How much service each customer of one pool has received, as the queue order needs it.
class ServiceView
{
public:
    virtual ~ServiceView() = default;
    /// The customer's position: service received in the fleet, lifted to the floor when the
    /// customer became backlogged, in weighed tokens. The least position goes first.
    virtual Base::ServiceUnits position(const Base::CustomerId &customer) const = 0;
};

} // namespace Scheduling
