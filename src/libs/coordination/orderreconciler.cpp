#include "coordination/orderreconciler.h"

#include <algorithm>

namespace Coordination {

namespace {

constexpr Base::Duration stepInterval = std::chrono::milliseconds(200);

} // namespace

Base::Result<OrderBook> OrderBook::create(const OrderPolicy &policy, Storage::TableService &table,
                                          ModelServerOrders &orders,
                                          Storage::OperationIds &operations,
                                          const std::string &holder)
{
    if (holder.empty() || policy.leaseLength / 2 <= policy.orderTimeout)
        return boost::leaf::new_error(InvalidOrderPolicy{});
    return OrderBook(policy, table, orders, operations, holder);
}

OrderBook::OrderBook(const OrderPolicy &policy, Storage::TableService &table,
                     ModelServerOrders &orders, Storage::OperationIds &operations,
                     const std::string &holder)
    : m_policy(policy)
    , m_table(&table)
    , m_orders(&orders)
    , m_operations(&operations)
    , m_holder(holder)
{}

void OrderBook::setDuties(const std::vector<Base::ServerId> &servers, std::size_t routers)
{
    m_routers = std::max<std::size_t>(routers, 1);
    std::erase_if(m_duties, [&](const auto &duty) {
        return std::find(servers.begin(), servers.end(), duty.first) == servers.end();
    });
    for (const Base::ServerId &server : servers) {
        if (m_duties.count(server) > 0)
            continue;
        m_duties.emplace(server,
                         Duty{OrderLease(m_policy, *m_table, *m_operations, m_holder, server),
                              {},
                              {},
                              {},
                              {},
                              {},
                              {}});
    }
}

void OrderBook::advance(Base::TimePoint now)
{
    if (now < m_nextDue)
        return;
    m_nextDue = now + stepInterval;
    for (auto &[server, duty] : m_duties) {
        readDesired(server, duty, now);
        if (!duty.desired)
            continue;
        duty.lease.advance(duty.desired->number, now);
        order(server, duty, now);
    }
}

void OrderBook::readDesired(const Base::ServerId &server, Duty &duty, Base::TimePoint now)
{
    if (now < duty.nextRead)
        return;
    duty.nextRead = now + m_policy.pollInterval;
    duty.desiredRead = m_operations->next();
    m_table->read(*duty.desiredRead, desiredPrefix + server.value());
}

bool OrderBook::handle(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    for (auto &[server, duty] : m_duties) {
        if (duty.desiredRead == outcome.operation) {
            duty.desiredRead.reset();
            tookDesired(duty, outcome);
            return true;
        }
        if (duty.lease.handle(outcome, now))
            return true;
    }
    return false;
}

void OrderBook::tookDesired(Duty &duty, const Storage::TableOutcome &outcome)
{
    if (outcome.status != Storage::TableStatus::Done || outcome.rows.empty())
        return;
    const Storage::TableRow &row = outcome.rows.front();
    const std::optional<DesiredRow> desired = decodeDesired(row.value);
    if (!desired || row.version <= duty.desiredVersion)
        return;
    duty.desired = desired;
    duty.desiredVersion = row.version;
}

void OrderBook::order(const Base::ServerId &server, Duty &duty, Base::TimePoint now)
{
    const DesiredRow &desired = *duty.desired;
    const bool isLoad = desired.order.kind == OrderKind::LoadModel;
    const std::optional<std::uint64_t> fence = duty.lease.fenceFor(desired.number, now);
    if (!fence || now < duty.sentUntil || (isLoad && now < m_nextLoad))
        return;
    if (isLoad)
        m_nextLoad = now + m_policy.loadInterval * static_cast<long>(m_routers);
    duty.sentFence = *fence;
    duty.sentUntil = now + m_policy.orderTimeout;
    m_orders->send(server, desired.order, *fence);
}

void OrderBook::handle(const OrderOutcome &outcome, Base::TimePoint now)
{
    const auto it = m_duties.find(outcome.server);
    // A late answer to an order that was overtaken says nothing of the one under way.
    if (it == m_duties.end() || it->second.sentFence != outcome.fence)
        return;
    Duty &duty = it->second;
    switch (outcome.status) {
    case OrderStatus::Done:
        duty.lease.finish(now);
        break;
    case OrderStatus::OldFence:
        duty.lease.lose();
        break;
    case OrderStatus::Limited:
        m_nextLoad = std::max(m_nextLoad, now + outcome.retryAfter);
        duty.sentUntil = now;
        break;
    case OrderStatus::Failed:
        duty.sentUntil = now + m_policy.retryInterval;
        break;
    }
}

std::size_t OrderBook::openOrders() const
{
    return static_cast<std::size_t>(
        std::count_if(m_duties.begin(), m_duties.end(), [](const auto &entry) {
            const Duty &duty = entry.second;
            return duty.desired && !duty.lease.isDone(duty.desired->number);
        }));
}

} // namespace Coordination
