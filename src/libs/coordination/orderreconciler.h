#pragma once

#include "base/result.h"
#include "base/time.h"
#include "coordination/modelserverorders.h"
#include "coordination/orderlease.h"
#include "storage/operationids.h"
#include "storage/tableservice.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Coordination {

/// Error of OrderReconciler::create(): half of OrderPolicy::leaseLength is not longer than
/// orderTimeout, or the holder has no name.
struct InvalidOrderPolicy
{};

/// Reconciles model servers with the desired state in the table: sends them orders until they
/// have loaded the model or taken the role that their row names.
///
/// A model may have to be loaded by many servers at once, while the weight store serves a limited
/// rate. All routers therefore share one rate limit for starting loads; without it the store would
/// refuse most loads, which would all be retried at once.
///
/// A server that checks fences refuses an outdated order whenever it arrives. To a server that does
/// not check fences, a router sends nothing after the end of its lease, but an order that was sent
/// in time and delayed beyond that can still arrive after a newer one
/// (docs/design/model-orders.md).
class OrderReconciler
{
public:
    /// \a holder must be unique for this start of this router. Fails with InvalidOrderPolicy.
    static Base::Result<OrderReconciler> create(const OrderPolicy &policy,
                                                Storage::TableService &table, OrderSender &sender,
                                                Storage::OperationIds &operations,
                                                const std::string &holder);

    /// Sets the servers that this router sends orders to, and the number of routers that share the
    /// rate limit of loads.
    void setServers(const std::vector<Base::ServerId> &servers, std::size_t routers);
    /// Reads desired rows, maintains leases and sends orders that are due.
    void advance(Base::TimePoint now);
    /// Time of the next step.
    Base::TimePoint nextDue() const { return m_nextDue; }
    /// Processes the outcome of a table call. Returns whether the call was the reconciler's.
    bool handle(const Storage::TableOutcome &outcome, Base::TimePoint now);
    /// Processes a server's answer to an order.
    void handle(const OrderOutcome &outcome, Base::TimePoint now);

    /// Number of this router's servers whose order is not carried out yet.
    std::size_t pendingOrders() const;

private:
    struct ManagedServer
    {
        OrderLease lease;
        std::optional<DesiredRow> desired;
        Storage::RowVersion desiredVersion = Storage::absentRow;
        std::optional<Storage::OperationId> desiredRead;
        Base::TimePoint nextRead;
        /// Fence of the last order that was sent.
        std::uint64_t sentFence = 0;
        /// Time before which no further order is sent to the server.
        Base::TimePoint sentUntil;
    };

    OrderReconciler(const OrderPolicy &policy, Storage::TableService &table, OrderSender &sender,
                    Storage::OperationIds &operations, const std::string &holder);
    void readDesired(const Base::ServerId &server, ManagedServer &managed, Base::TimePoint now);
    void handleDesired(ManagedServer &managed, const Storage::TableOutcome &outcome);
    /// Sends the server's order if the lease is held, no other order is in progress and the rate
    /// limit permits it.
    void sendDueOrder(const Base::ServerId &server, ManagedServer &managed, Base::TimePoint now);

    OrderPolicy m_policy;
    Storage::TableService *m_table;
    OrderSender *m_sender;
    Storage::OperationIds *m_operations;
    std::string m_holder;
    std::map<Base::ServerId, ManagedServer> m_servers;
    std::size_t m_routerCount = 1;
    Base::TimePoint m_nextLoad{};
    Base::TimePoint m_nextDue{};
};

} // namespace Coordination
