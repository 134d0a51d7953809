#include "coordination/orderreconciler.h"

#include <algorithm>

namespace Coordination {

namespace {

/// Interval at which the servers' leases and orders are examined.
constexpr Base::Duration advanceInterval = std::chrono::milliseconds(200);

} // namespace

Base::Result<OrderReconciler> OrderReconciler::create(const OrderPolicy &policy,
                                                      Storage::TableService &table,
                                                      OrderSender &sender,
                                                      Storage::OperationIds &operations,
                                                      const std::string &holder)
{
    if (holder.empty() || policy.leaseLength / 2 <= policy.orderTimeout)
        return boost::leaf::new_error(InvalidOrderPolicy{});
    return OrderReconciler(policy, table, sender, operations, holder);
}

OrderReconciler::OrderReconciler(const OrderPolicy &policy, Storage::TableService &table,
                                 OrderSender &sender, Storage::OperationIds &operations,
                                 const std::string &holder)
    : m_policy(policy)
    , m_table(&table)
    , m_sender(&sender)
    , m_operations(&operations)
    , m_holder(holder)
{}

void OrderReconciler::setServers(const std::vector<Base::ServerId> &servers, std::size_t routers)
{
    m_routerCount = std::max<std::size_t>(routers, 1);
    std::erase_if(m_servers, [&](const auto &managed) {
        return std::find(servers.begin(), servers.end(), managed.first) == servers.end();
    });
    for (const Base::ServerId &server : servers) {
        if (m_servers.count(server) > 0)
            continue;
        m_servers.emplace(
            server, ManagedServer{OrderLease(m_policy, *m_table, *m_operations, m_holder, server),
                                  {},
                                  {},
                                  {},
                                  {},
                                  {},
                                  {}});
    }
}

void OrderReconciler::advance(Base::TimePoint now)
{
    if (now < m_nextDue)
        return;
    m_nextDue = now + advanceInterval;
    for (auto &[server, managed] : m_servers) {
        readDesired(server, managed, now);
        if (!managed.desired)
            continue;
        managed.lease.advance(managed.desired->number, now);
        sendDueOrder(server, managed, now);
    }
}

void OrderReconciler::readDesired(const Base::ServerId &server, ManagedServer &managed,
                                  Base::TimePoint now)
{
    if (now < managed.nextRead)
        return;
    managed.nextRead = now + m_policy.pollInterval;
    managed.desiredRead = m_operations->next();
    m_table->read(*managed.desiredRead, desiredPrefix + server.value());
}

bool OrderReconciler::handle(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    for (auto &[server, managed] : m_servers) {
        if (managed.desiredRead == outcome.operation) {
            managed.desiredRead.reset();
            handleDesired(managed, outcome);
            return true;
        }
        if (managed.lease.handle(outcome, now))
            return true;
    }
    return false;
}

void OrderReconciler::handleDesired(ManagedServer &managed, const Storage::TableOutcome &outcome)
{
    if (outcome.status != Storage::TableStatus::Done || outcome.rows.empty())
        return;
    const Storage::TableRow &row = outcome.rows.front();
    const std::optional<DesiredRow> desired = decodeDesired(row.value);
    if (!desired || row.version <= managed.desiredVersion)
        return;
    managed.desired = desired;
    managed.desiredVersion = row.version;
}

void OrderReconciler::sendDueOrder(const Base::ServerId &server, ManagedServer &managed,
                                   Base::TimePoint now)
{
    const DesiredRow &desired = *managed.desired;
    const bool isLoad = desired.order.kind == OrderKind::LoadModel;
    const std::optional<std::uint64_t> fence = managed.lease.fenceFor(desired.number, now);
    if (!fence || now < managed.sentUntil || (isLoad && now < m_nextLoad))
        return;
    if (isLoad)
        m_nextLoad = now + m_policy.loadInterval * static_cast<long>(m_routerCount);
    managed.sentFence = *fence;
    managed.sentUntil = now + m_policy.orderTimeout;
    m_sender->send(server, desired.order, *fence);
}

void OrderReconciler::handle(const OrderOutcome &outcome, Base::TimePoint now)
{
    const auto it = m_servers.find(outcome.server);
    // A late answer to an earlier order does not concern the one in progress.
    if (it == m_servers.end() || it->second.sentFence != outcome.fence)
        return;
    ManagedServer &managed = it->second;
    switch (outcome.status) {
    case OrderStatus::Done:
        managed.lease.finish(now);
        break;
    case OrderStatus::OldFence:
        managed.lease.invalidate();
        break;
    case OrderStatus::Limited:
        m_nextLoad = std::max(m_nextLoad, now + outcome.retryAfter);
        managed.sentUntil = now;
        break;
    case OrderStatus::Failed:
        managed.sentUntil = now + m_policy.retryInterval;
        break;
    }
}

std::size_t OrderReconciler::pendingOrders() const
{
    return static_cast<std::size_t>(
        std::count_if(m_servers.begin(), m_servers.end(), [](const auto &entry) {
            const ManagedServer &managed = entry.second;
            return managed.desired && !managed.lease.isDone(managed.desired->number);
        }));
}

} // namespace Coordination
