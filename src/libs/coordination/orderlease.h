#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "coordination/orderrows.h"
#include "storage/operationids.h"
#include "storage/tableservice.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Coordination {

struct OrderPolicy
{
    /// How long a written lease lasts. Ten seconds cost a write every five for each server that
    /// is being changed now, and let another router take over soon enough for a change that
    /// takes minutes.
    Base::Duration leaseLength = std::chrono::seconds(10);
    /// What an observer waits beyond it: clocks of two hosts that differ in rate by 5% still
    /// agree that the lease is over.
    Base::Duration leaseMargin = std::chrono::milliseconds(500);
    /// An order is on its way for this long at most, and is sent only if that much is left.
    Base::Duration orderTimeout = std::chrono::seconds(2);
    Base::Duration retryInterval = std::chrono::seconds(1);
    /// A call of the table without an answer for this long is not waited for.
    Base::Duration callTimeout = std::chrono::seconds(3);
    Base::Duration pollInterval = std::chrono::seconds(5);
    /// The whole fleet starts one load of weights in this time: the weight store's limit.
    Base::Duration loadInterval = std::chrono::seconds(2);
};

/// The lease on one model server's orders, as one router sees and holds it.
///
/// Failure it stops: two routers order one server at once, since one was paused or cut off and
/// still believes it holds the lease; it shows as a server that loads what is no longer wanted.
/// The guard holds without comparing clocks: the holder counts from before it sent the write,
/// an observer from when it first saw the row, which is later, and waits longer. Whoever wakes
/// from a pause finds its own end passed, by its own monotonic clock.
class OrderLease
{
public:
    OrderLease(const OrderPolicy &policy, Storage::TableService &table,
               Storage::OperationIds &operations, const std::string &holder,
               const Base::ServerId &server);

    /// Takes, renews or watches the lease, so that it comes to be held for \a number.
    void advance(std::uint64_t number, Base::TimePoint now);
    bool handle(const Storage::TableOutcome &outcome, Base::TimePoint now);

    /// The fence under which an order with this number may be sent now; empty if none may.
    std::optional<std::uint64_t> fenceFor(std::uint64_t number, Base::TimePoint now) const;
    /// Whether the table says that the order with this number has been carried out.
    bool isDone(std::uint64_t number) const;
    /// The order was carried out: says so in the table and lets the lease go.
    void finish(Base::TimePoint now);
    /// A server has seen a larger fence: somebody else holds the lease.
    void lose();

private:
    enum class Stage { Idle, Read, Write };

    void read(Base::TimePoint now);
    void write(const OrderLeaseRow &row, Base::TimePoint now);
    void tookRead(const Storage::TableOutcome &outcome, Base::TimePoint now);
    void tookWrite(const Storage::TableOutcome &outcome, Base::TimePoint now);
    void hold(Base::TimePoint writtenAt);
    bool isFree(Base::TimePoint now) const;

    OrderPolicy m_policy;
    Storage::TableService *m_table;
    Storage::OperationIds *m_operations;
    std::string m_holder;
    std::string m_key;
    Stage m_stage = Stage::Idle;
    Storage::OperationId m_operation = 0;
    Base::TimePoint m_calledAt{};
    Base::TimePoint m_nextTry{};
    bool m_isKnown = false;
    OrderLeaseRow m_row;
    Storage::RowVersion m_rowVersion = Storage::absentRow;
    Base::TimePoint m_seenAt{};
    /// Written, and not known whether it took effect.
    std::optional<OrderLeaseRow> m_pending;
    Base::TimePoint m_pendingAt{};
    std::optional<Base::TimePoint> m_heldUntil;
};

} // namespace Coordination
