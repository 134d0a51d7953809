#pragma once

#include "base/ids.h"

namespace Scheduling {

/// Gives the queue order access to the service that each customer of one pool has received.
class ServiceView
{
public:
    virtual ~ServiceView() = default;
    /// The position of \a customer in weighted tokens: the service that it received in the fleet,
    /// raised to the floor (the lowest position among backlogged customers) when the customer
    /// became backlogged. The customer with the lowest position goes first.
    virtual Base::ServiceUnits position(const Base::CustomerId &customer) const = 0;
};

} // namespace Scheduling
