#include "storage/tablegateway.h"

#include <algorithm>

namespace Storage {

namespace {

/// Ids of the gateway's own reads, which try whether the table is back, begin here; callers'
/// ids begin at 1. Each has its own: an earlier one may be under way yet.
constexpr OperationId firstProbe = OperationId{1} << 63;
constexpr const char *probeKey = "probe";

AttemptEnd attemptEnd(TableStatus status)
{
    if (status == TableStatus::NotDone)
        return AttemptEnd::NotDone;
    return status == TableStatus::Unknown ? AttemptEnd::Unknown : AttemptEnd::Answered;
}

} // namespace

Base::Result<std::unique_ptr<TableGateway>> TableGateway::create(const TableGatewayPolicy &policy,
                                                                 TableService &below,
                                                                 Base::RandomSource &random)
{
    const bool isRated = policy.fleetReadsPerSecond > 0 && policy.fleetWritesPerSecond > 0;
    if (!isRated || !isUsable(policy.reads) || !isUsable(policy.writes))
        return boost::leaf::new_error(UnusableGatewayPolicy{});
    return std::unique_ptr<TableGateway>(new TableGateway(policy, below, random));
}

TableGateway::TableGateway(const TableGatewayPolicy &policy, TableService &below,
                           Base::RandomSource &random)
    : m_policy(policy)
    , m_below(&below)
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
    // Without callers' reads an outage would last until one comes.
    if (m_reads.isTrialMissing(now))
        read(firstProbe + m_probes++, probeKey);
    m_reads.advance(now, true);
    // A write that serves as a trial may end as Unknown, which costs its caller; so reads go
    // first, and a write is risked only once they are answered.
    m_writes.advance(now, m_reads.isClosed());
    collectEnds(m_reads);
    collectEnds(m_writes);
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
    const AttemptEnd end = attemptEnd(outcome.status);
    std::optional<OperationId> call = m_reads.finishAttempt(outcome.operation, end, now);
    if (!call)
        call = m_writes.finishAttempt(outcome.operation, end, now);
    collectEnds(m_reads);
    collectEnds(m_writes);
    if (!call)
        return;
    m_calls.erase(*call);
    if (*call < firstProbe)
        m_outcomes.push_back({*call, outcome.status, outcome.rows});
}

void TableGateway::collectEnds(CallLane &lane)
{
    for (const CallLane::End &it : lane.takeEnds()) {
        m_calls.erase(it.call);
        if (it.call >= firstProbe)
            continue;
        const TableStatus status = it.mayHaveEffect ? TableStatus::Unknown : TableStatus::NotDone;
        m_outcomes.push_back({it.call, status, {}});
    }
}

void TableGateway::sendReads()
{
    for (const CallLane::Attempt &it : m_reads.takeAttempts()) {
        const Call &call = m_calls.at(it.call);
        if (call.isScan)
            m_below->scan(it.attempt, call.key, call.after, call.limit);
        else
            m_below->read(it.attempt, call.key);
    }
}

void TableGateway::sendWrites()
{
    for (const CallLane::Attempt &it : m_writes.takeAttempts())
        m_below->transact(it.attempt, m_calls.at(it.call).writes);
}

} // namespace Storage
