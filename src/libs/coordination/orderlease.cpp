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
        m_isKnown = false;
    }
    if (m_stage != Stage::Idle || now < m_nextTry)
        return;
    if (!m_isKnown) {
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
    m_pending = row;
    m_pendingAt = now;
    m_table->transact(m_operation, {{m_key, encodeOrderLease(row), m_rowVersion}});
}

bool OrderLease::handle(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    if (m_stage == Stage::Idle || outcome.operation != m_operation)
        return false;
    const Stage stage = m_stage;
    m_stage = Stage::Idle;
    if (stage == Stage::Read)
        tookRead(outcome, now);
    else
        tookWrite(outcome, now);
    return true;
}

void OrderLease::tookRead(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    if (outcome.status != TableStatus::Done) {
        m_nextTry = now + m_policy.retryInterval;
        return;
    }
    const Storage::RowVersion version =
        outcome.rows.empty() ? Storage::absentRow : outcome.rows.front().version;
    // An answer that was long under way shows an older row: it says nothing of the newer one.
    if (m_isKnown && version <= m_rowVersion)
        return;
    if (version != m_rowVersion) {
        const auto row = decodeOrderLease(outcome.rows.empty() ? "" : outcome.rows.front().value);
        m_row = row.value_or(OrderLeaseRow());
        m_rowVersion = version;
        m_seenAt = now;
        m_heldUntil.reset();
    }
    m_isKnown = true;
    // Only the very row that was written shows that the lost write took effect.
    if (m_pending && *m_pending == m_row)
        hold(m_pendingAt);
}

void OrderLease::tookWrite(const Storage::TableOutcome &outcome, Base::TimePoint now)
{
    if (outcome.status == TableStatus::Done && !outcome.rows.empty()) {
        m_row = *m_pending;
        m_rowVersion = outcome.rows.front().version;
        m_seenAt = now;
        hold(m_pendingAt);
        return;
    }
    m_isKnown = false;
    m_nextTry = outcome.status == TableStatus::Conflict ? now : now + m_policy.retryInterval;
}

void OrderLease::hold(Base::TimePoint writtenAt)
{
    m_pending.reset();
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
    return m_isKnown && m_row.isDone && m_row.number >= number;
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

void OrderLease::lose()
{
    m_heldUntil.reset();
    m_isKnown = false;
}

} // namespace Coordination
