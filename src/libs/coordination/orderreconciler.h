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

/// An OrderPolicy that cannot work, or no name for the holder.
struct InvalidOrderPolicy
{};

/// Brings model servers to what the table says they shall have loaded or be.
///
/// Load it answers: a model that must come up on many servers at once. The weight store is
/// limited, so loads are started one at a time, at a pace that all routers share; without it
/// the store would turn most away and each would try again at once.
///
/// With a server that checks fences, an order that was overtaken is refused, whenever it
/// arrives. With one that does not, a router never sends after the end of its own lease, but an
/// order that left in time and was held up beyond it (docs/design/model-orders.md) can arrive
/// after a newer one.
class OrderBook
{
public:
    /// \a holder distinguishes this start of this router. Fails with InvalidOrderPolicy.
    static Base::Result<OrderBook> create(const OrderPolicy &policy, Storage::TableService &table,
                                          ModelServerOrders &orders,
                                          Storage::OperationIds &operations,
                                          const std::string &holder);

    /// Servers that this router orders now, and among how many routers the pace is shared.
    void setDuties(const std::vector<Base::ServerId> &servers, std::size_t routers);
    void advance(Base::TimePoint now);
    Base::TimePoint nextDue() const { return m_nextDue; }
    /// Whether the outcome was an answer to this part's call.
    bool handle(const Storage::TableOutcome &outcome, Base::TimePoint now);
    void handle(const OrderOutcome &outcome, Base::TimePoint now);

    /// Orders that are not carried out yet, of this router's servers.
    std::size_t openOrders() const;

private:
    struct Duty
    {
        OrderLease lease;
        std::optional<DesiredRow> desired;
        Storage::RowVersion desiredVersion = Storage::absentRow;
        std::optional<Storage::OperationId> desiredRead;
        Base::TimePoint nextRead;
        /// Fence of the order that is under way, and until when it may be.
        std::uint64_t sentFence = 0;
        Base::TimePoint sentUntil;
    };

    OrderBook(const OrderPolicy &policy, Storage::TableService &table, ModelServerOrders &orders,
              Storage::OperationIds &operations, const std::string &holder);
    void readDesired(const Base::ServerId &server, Duty &duty, Base::TimePoint now);
    void tookDesired(Duty &duty, const Storage::TableOutcome &outcome);
    void order(const Base::ServerId &server, Duty &duty, Base::TimePoint now);

    OrderPolicy m_policy;
    Storage::TableService *m_table;
    ModelServerOrders *m_orders;
    Storage::OperationIds *m_operations;
    std::string m_holder;
    std::map<Base::ServerId, Duty> m_duties;
    std::size_t m_routers = 1;
    Base::TimePoint m_nextLoad{};
    Base::TimePoint m_nextDue{};
};

} // namespace Coordination
