#pragma once

#include "base/result.h"
#include "storage/callqueue.h"
#include "storage/objectstore.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Storage {

/// Limits of the calls to the object store.
struct ObjectGatewayPolicy
{
    CallQueuePolicy gets;
    CallQueuePolicy puts;
    /// Rate limits of the whole fleet, in calls per second.
    double fleetGetsPerSecond = 1500;
    double fleetPutsPerSecond = 300;
};

/// Error: the policy lets no call through.
struct UnusableObjectPolicy
{};

/// Wraps the platform's object store with timeouts, retries, a circuit breaker and limits, as
/// TableGateway does for the table.
///
/// Each call is followed by exactly one outcome in takeOutcomes(). A put ends as NotDone only if
/// the object was not and will not be stored. A put that was sent and not answered ends as Unknown
/// and is not retried, since the retry could arrive after a later put of the same key. A failed get
/// ends as NotDone.
class ObjectGateway final : public ObjectStore
{
public:
    /// Fails with UnusableObjectPolicy. \a store and \a random must outlive the gateway.
    static Base::Result<std::unique_ptr<ObjectGateway>>
    create(const ObjectGatewayPolicy &policy, ObjectStore &store, Base::RandomSource &random);

    void put(OperationId operation, const std::string &key, const std::string &value) override;
    void get(OperationId operation, const std::string &key) override;

    /// Sets the number of live routers that share the rate limits, including this one.
    void setFleetSize(std::size_t routers);
    /// Sends the calls that may be sent and ends those that are overdue.
    void advance(Base::TimePoint now);
    /// Returns the earliest time at which advance() or takeOutcomes() has something to do.
    Base::TimePoint nextDue() const;
    /// Handles an outcome that the store reports.
    void handle(const ObjectOutcome &outcome, Base::TimePoint now);
    /// Returns the outcomes for the callers of this gateway and clears the list.
    std::vector<ObjectOutcome> takeOutcomes() { return std::exchange(m_outcomes, {}); }

private:
    struct Call
    {
        std::string key;
        std::string value;
    };

    ObjectGateway(const ObjectGatewayPolicy &policy, ObjectStore &store,
                  Base::RandomSource &random);
    void collectFailedCalls(CallQueue &queue);

    ObjectGatewayPolicy m_policy;
    ObjectStore *m_store;
    /// Ids of attempts, separate from the operation ids of the callers.
    OperationIds m_attempts;
    CallQueue m_gets;
    CallQueue m_puts;
    std::map<OperationId, Call> m_calls;
    std::vector<ObjectOutcome> m_outcomes;
};

} // namespace Storage
