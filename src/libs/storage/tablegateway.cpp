#include "storage/tablegateway.h"

#include <algorithm>

namespace Storage {

namespace {

/// First id of the gateway's own probing reads, which check whether the table has recovered.
/// Callers' ids begin at 1. Each probe has its own id, since an earlier one may still be in flight.
constexpr OperationId firstProbeId = OperationId{1} << 63;
constexpr const char *probeKey = "probe";

AttemptResult attemptResult(TableStatus status)
{
    if (status == TableStatus::NotDone)
        return AttemptResult::NotDone;
    return status == TableStatus::Unknown ? AttemptResult::Unknown : AttemptResult::Answered;
}

} // namespace

Base::Result<std::unique_ptr<TableGateway>> TableGateway::create(const TableGatewayPolicy &policy,
                                                                 TableService &service,
                                                                 Base::RandomSource &random)
{
    const bool hasRates = policy.fleetReadsPerSecond > 0 && policy.fleetWritesPerSecond > 0;
    if (!hasRates || !isUsable(policy.reads) || !isUsable(policy.writes))
        return boost::leaf::new_error(UnusableGatewayPolicy{});
    return std::unique_ptr<TableGateway>(new TableGateway(policy, service, random));
}

TableGateway::TableGateway(const TableGatewayPolicy &policy, TableService &service,
                           Base::RandomSource &random)
    : m_policy(policy)
    , m_service(&service)
    , m_reads(CallKind::Read, policy.reads, m_attempts, random)
    , m_writes(CallKind::Write, policy.writes, m_attempts, random)
{
    setFleetSize(1);
}

void TableGateway::read(OperationId operation, const std::string &key)
{
    m_calls[operation].key = key;
    m_reads.add(operation);
}

void TableGateway::scan(OperationId operation, const std::string &prefix, const std::string &after,
                        std::size_t limit)
{
    m_calls[operation] = {true, prefix, after, limit, {}};
    m_reads.add(operation);
}

void TableGateway::transact(OperationId operation, const std::vector<TableWrite> &writes)
{
    m_calls[operation].writes = writes;
    m_writes.add(operation);
}

void TableGateway::setFleetSize(std::size_t routers)
{
    const double share = 1.0 / static_cast<double>(std::max<std::size_t>(routers, 1));
    m_reads.setRate(m_policy.fleetReadsPerSecond * share);
    m_writes.setRate(m_policy.fleetWritesPerSecond * share);
}

void TableGateway::advance(Base::TimePoint now)
{
    // Without a probe and without reads of callers the breaker would stay open after an outage.
    if (m_reads.needsTrialCall(now))
        read(firstProbeId + m_probeCount++, probeKey);
    m_reads.advance(now, true);
    // A write that serves as a trial call may end as Unknown, which is costly for its caller.
    // Therefore a write is tried only after a read was answered.
    m_writes.advance(now, m_reads.isBreakerClosed());
    collectFailedCalls(m_reads);
    collectFailedCalls(m_writes);
    sendReads();
    sendWrites();
}

Base::TimePoint TableGateway::nextDue() const
{
    if (!m_outcomes.empty())
        return Base::TimePoint::min();
    const Base::TimePoint due = std::min(m_reads.nextDue(), m_writes.nextDue());
    return m_reads.isBreakerOpen() ? std::min(due, m_reads.trialAt()) : due;
}

void TableGateway::handle(const TableOutcome &outcome, Base::TimePoint now)
{
    const AttemptResult result = attemptResult(outcome.status);
    std::optional<OperationId> call = m_reads.finishAttempt(outcome.operation, result, now);
    if (!call)
        call = m_writes.finishAttempt(outcome.operation, result, now);
    collectFailedCalls(m_reads);
    collectFailedCalls(m_writes);
    if (!call)
        return;
    m_calls.erase(*call);
    if (*call < firstProbeId)
        m_outcomes.push_back({*call, outcome.status, outcome.rows});
}

void TableGateway::collectFailedCalls(CallQueue &queue)
{
    for (const CallQueue::FailedCall &it : queue.takeFailedCalls()) {
        m_calls.erase(it.call);
        if (it.call >= firstProbeId)
            continue;
        const TableStatus status = it.mayHaveEffect ? TableStatus::Unknown : TableStatus::NotDone;
        m_outcomes.push_back({it.call, status, {}});
    }
}

void TableGateway::sendReads()
{
    for (const CallQueue::Attempt &it : m_reads.takeAttempts()) {
        const Call &call = m_calls.at(it.call);
        if (call.isScan)
            m_service->scan(it.attempt, call.key, call.after, call.limit);
        else
            m_service->read(it.attempt, call.key);
    }
}

void TableGateway::sendWrites()
{
    for (const CallQueue::Attempt &it : m_writes.takeAttempts())
        m_service->transact(it.attempt, m_calls.at(it.call).writes);
}

} // namespace Storage
