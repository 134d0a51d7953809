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

/// Intervals and timeouts of OrderReconciler and OrderLease.
struct OrderPolicy
{
    /// Duration of a lease. With ten seconds each server that is being changed costs one write
    /// every five seconds, and another router takes over soon enough for a change that takes
    /// minutes.
    Base::Duration leaseLength = std::chrono::seconds(10);
    /// Time that other routers wait after leaseLength. With this margin two hosts agree that the
    /// lease is over even if the rates of their clocks differ by 5%.
    Base::Duration leaseMargin = std::chrono::milliseconds(500);
    /// Longest time that an order may take. An order is sent only if the lease lasts that long.
    Base::Duration orderTimeout = std::chrono::seconds(2);
    Base::Duration retryInterval = std::chrono::seconds(1);
    /// Time after which a call of the table without an answer is given up.
    Base::Duration callTimeout = std::chrono::seconds(3);
    /// Interval at which the desired row of each server is read.
    Base::Duration pollInterval = std::chrono::seconds(5);
    /// Interval between two loads of model weights in the whole fleet, which is the limit of the
    /// weight store.
    Base::Duration loadInterval = std::chrono::seconds(2);
};

/// The lease that permits one router at a time to send orders to one model server, as this router
/// sees and holds it.
///
/// It prevents two routers from sending orders to the same server because one of them was paused
/// or disconnected and still believes that it holds the lease; the server would load what is no
/// longer wanted. This needs no synchronized clocks: the holder counts the lease from before it
/// sent the write, while other routers count from when they first saw the row, which is later, and
/// also wait leaseMargin. A router that resumes after a pause sees by its own monotonic clock that
/// its lease has expired.
class OrderLease
{
public:
    OrderLease(const OrderPolicy &policy, Storage::TableService &table,
               Storage::OperationIds &operations, const std::string &holder,
               const Base::ServerId &server);

    /// Acquires, renews or reads the lease, with the goal to hold it for the order \a number.
    void advance(std::uint64_t number, Base::TimePoint now);
    /// Processes the outcome of a call. Returns whether the call was the lease's.
    bool handle(const Storage::TableOutcome &outcome, Base::TimePoint now);

    /// Returns the fence with which the order \a number may be sent now, or nullopt if it may not.
    std::optional<std::uint64_t> fenceFor(std::uint64_t number, Base::TimePoint now) const;
    /// Whether the table says that the order \a number, or a later one, has been carried out.
    bool isDone(std::uint64_t number) const;
    /// Records in the table that the order was carried out and releases the lease. Does nothing if
    /// the lease is not held or is being written.
    void finish(Base::TimePoint now);
    /// Gives the lease up because a server has seen a larger fence, so that another router holds
    /// it. The row is then read again.
    void invalidate();

private:
    enum class Stage { Idle, Read, Write };

    void read(Base::TimePoint now);
    void write(const OrderLeaseRow &row, Base::TimePoint now);
    void handleRead(const Storage::TableOutcome &outcome, Base::TimePoint now);
    void handleWrite(const Storage::TableOutcome &outcome, Base::TimePoint now);
    /// Starts the lease at \a writtenAt, unless the row says that the order is done.
    void updateHeld(Base::TimePoint writtenAt);
    /// Whether this router may acquire the lease now.
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
    /// Whether m_row is the newest row as far as this router knows.
    bool m_isRowKnown = false;
    OrderLeaseRow m_row;
    Storage::RowVersion m_rowVersion = Storage::absentRow;
    Base::TimePoint m_seenAt{};
    /// Row that was sent in a write whose effect is not known yet.
    std::optional<OrderLeaseRow> m_pendingRow;
    Base::TimePoint m_pendingSentAt{};
    std::optional<Base::TimePoint> m_heldUntil;
};

} // namespace Coordination
