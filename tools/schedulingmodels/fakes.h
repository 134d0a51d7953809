#pragma once

#include "scheduling/fairqueue.h"

#include <map>
#include <set>
#include <string>

namespace SchedulingModels {

/// A view of service that a test or model sets itself. A customer's position is the service that it
/// received plus what is held for its running work, as in the coordination library, but without
/// other routers.
class FakeService final : public Scheduling::ServiceView
{
public:
    Base::ServiceUnits position(const Base::CustomerId &customer) const override
    {
        const auto it = received.find(customer);
        const auto holding = held.find(customer);
        return (it == received.end() ? 0 : it->second)
               + (holding == held.end() ? 0 : holding->second);
    }

    std::map<Base::CustomerId, Base::ServiceUnits> received;
    std::map<Base::CustomerId, Base::ServiceUnits> held;
};

/// A set of classes that are over their claim, that is, over the capacity set aside for them.
class FakeClaims final : public Scheduling::ClassClaims
{
public:
    bool isOverClaim(const Base::ClassId &workClass) const override
    {
        return over.count(workClass) > 0;
    }

    std::set<Base::ClassId> over;
};

/// Returns the time \a milliseconds after the clock's epoch.
inline Base::TimePoint at(std::int64_t milliseconds)
{
    return Base::TimePoint(Base::Milliseconds(milliseconds));
}

inline Base::CustomerId customerNamed(std::size_t n)
{
    return Base::CustomerId("customer-" + std::to_string(n));
}

/// Returns waiting work whose start target ends at \a startBy, in milliseconds.
inline Scheduling::WaitingWork workOf(std::uint64_t serial, const Base::CustomerId &customer,
                                      std::int64_t startBy, const char *workClass = "normal")
{
    Scheduling::WaitingWork work;
    work.request = {Base::HostId("entry"), 1, serial};
    work.customer = customer;
    work.workClass = Base::ClassId(workClass);
    work.startBy = at(startBy);
    return work;
}

} // namespace SchedulingModels
