#include "coordination/orderlease.h"

namespace Coordination {

using Storage::TableStatus;

OrderLease::OrderLease(const OrderPolicy &policy, Storage::TableService &table,
                       Storage::OperationIds &operations, const std::string &holder,
                       const Base::ServerId &server)
    : m_policy(policy)
    , m_table(&table)
    , m_operations(&operations)
    , m_holder(holder)
    , m_key(orderLeasePrefix + server.value())
{}

void OrderLease::advance(std::uint64_t number, Base::TimePoint now)
{
    if (m_stage != Stage::Idle && now - m_calledAt >= m_policy.callTimeout) {
        m_stage = Stage::Idle;
        m_isRowKnown = false;
    }
    if (m_stage != Stage::Idle || now < m_nextTry)
        return;
    if (!m_isRowKnown) {
        read(now);
        return;
    }
    if (isDone(number))
        return;
    OrderLeaseRow wanted = m_row;
    const bool isHeld = m_heldUntil && now < *m_heldUntil && m_row.number == number;
    if (isHeld && now < *m_heldUntil - m_policy.leaseLength / 2)
        return;
    if (!isHeld && !isFree(now)) {
        m_nextTry = now + m_policy.retryInterval;
        read(now);
        return;
    }
    ++wanted.renewal;
    if (!isHeld)
        wanted = {m_holder, m_row.fence + 1, number, 0, false};
    write(wanted, now);
}

bool OrderLease::isFree(Base::TimePoint now) const
{
    if (m_rowVersion == Storage::absentRow || m_row.isDone || m_row.holder == m_holder)
        return true;
    return now - m_seenAt >= m_policy.leaseLength + m_policy.leaseMargin;
}

void OrderLease::read(Base::TimePoint now)
{
    m_stage = Stage::Read;
    m_calledAt = now;
    m_operation = m_operations->next();
    m_table->read(m_operation, m_key);
}

void OrderLease::write(const OrderLeaseRow &row, Base::TimePoint now)
{
    m_stage = Stage::Write;
    m_calledAt = now;
    m_operation = m_operations->next();
    m_pendingRow = row;
    m_pendingSentAt = now;
    m_table->transact(m_operation, {{m_key, encodeOrderLease(row), m_rowVersion}});
}

bool OrderLease::handle(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    if (m_stage == Stage::Idle || outcome.operation != m_operation)
        return false;
    const Stage stage = m_stage;
    m_stage = Stage::Idle;
    if (stage == Stage::Read)
        handleRead(outcome, now);
    else
        handleWrite(outcome, now);
    return true;
}

void OrderLease::handleRead(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    if (outcome.status != TableStatus::Done) {
        m_nextTry = now + m_policy.retryInterval;
        return;
    }
    const Storage::RowVersion version =
        outcome.rows.empty() ? Storage::absentRow : outcome.rows.front().version;
    // An answer without a newer row, such as a delayed one, is ignored.
    if (m_isRowKnown && version <= m_rowVersion)
        return;
    if (version != m_rowVersion) {
        const auto row = decodeOrderLease(outcome.rows.empty() ? "" : outcome.rows.front().value);
        m_row = row.value_or(OrderLeaseRow());
        m_rowVersion = version;
        m_seenAt = now;
        m_heldUntil.reset();
    }
    m_isRowKnown = true;
    // A write whose answer was lost took effect only if the row is exactly the one written.
    if (m_pendingRow && *m_pendingRow == m_row)
        updateHeld(m_pendingSentAt);
}

void OrderLease::handleWrite(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    if (outcome.status == TableStatus::Done && !outcome.rows.empty()) {
        m_row = *m_pendingRow;
        m_rowVersion = outcome.rows.front().version;
        m_seenAt = now;
        updateHeld(m_pendingSentAt);
        return;
    }
    m_isRowKnown = false;
    m_nextTry = outcome.status == TableStatus::Conflict ? now : now + m_policy.retryInterval;
}

void OrderLease::updateHeld(Base::TimePoint writtenAt)
{
    m_pendingRow.reset();
    m_heldUntil.reset();
    if (!m_row.isDone)
        m_heldUntil = writtenAt + m_policy.leaseLength;
}

std::optional<std::uint64_t> OrderLease::fenceFor(std::uint64_t number, Base::TimePoint now) const
{
    const bool isHeld = m_heldUntil && now + m_policy.orderTimeout <= *m_heldUntil;
    if (!isHeld || m_row.number != number || m_row.isDone)
        return std::nullopt;
    return m_row.fence;
}

bool OrderLease::isDone(std::uint64_t number) const
{
    return m_isRowKnown && m_row.isDone && m_row.number >= number;
}

void OrderLease::finish(Base::TimePoint now)
{
    if (!m_heldUntil || m_stage == Stage::Write)
        return;
    m_heldUntil.reset();
    OrderLeaseRow row = m_row;
    row.isDone = true;
    write(row, now);
}

void OrderLease::invalidate()
{
    m_heldUntil.reset();
    m_isRowKnown = false;
}

} // namespace Coordination
