#pragma once

#include "base/result.h"
#include "storage/calllane.h"
#include "storage/objectstore.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Storage {

struct ObjectGatewayPolicy
{
    LanePolicy gets;
    LanePolicy puts;
    /// What the whole fleet may ask of the store, in calls a second.
    double fleetGetsPerSecond = 1500;
    double fleetPutsPerSecond = 300;
};

/// A policy that lets no call through.
struct UnusableObjectPolicy
{};

/// The way to the platform's object store, with the bounds that TableGateway has for the table.
///
/// Each call is followed by exactly one outcome in takeOutcomes(). NotDone of a put is said only
/// if nothing was and nothing will be stored; a put that left and was not answered is Unknown
/// and is not sent again: it could arrive after a later put of the same key. A failed get is
/// NotDone.
class ObjectGateway final : public ObjectStore
{
public:
    /// Fails with UnusableObjectPolicy. \a below and \a random outlive the gateway.
    static Base::Result<std::unique_ptr<ObjectGateway>>
    create(const ObjectGatewayPolicy &policy, ObjectStore &below, Base::RandomSource &random);

    void put(OperationId operation, const std::string &key, const std::string &value) override;
    void get(OperationId operation, const std::string &key) override;

    /// Number of live routers that share the store's rate, this one included.
    void setFleetSize(std::size_t routers);
    /// Sends what may leave, ends what is overdue.
    void advance(Base::TimePoint now);
    Base::TimePoint nextDue() const;
    /// An outcome of the store below.
    void handle(const ObjectOutcome &outcome, Base::TimePoint now);
    /// Outcomes for the callers of this gateway.
    std::vector<ObjectOutcome> takeOutcomes() { return std::exchange(m_outcomes, {}); }

private:
    struct Call
    {
        std::string key;
        std::string value;
    };

    ObjectGateway(const ObjectGatewayPolicy &policy, ObjectStore &below,
                  Base::RandomSource &random);
    void collectEnds(CallLane &lane);

    ObjectGatewayPolicy m_policy;
    ObjectStore *m_below;
    OperationIds m_attempts;
    CallLane m_gets;
    CallLane m_puts;
    std::map<OperationId, Call> m_calls;
    std::vector<ObjectOutcome> m_outcomes;
};

} // namespace Storage
