#include "storage/objectgateway.h"

#include <algorithm>

namespace Storage {

namespace {

AttemptResult attemptResult(ObjectStatus status)
{
    if (status == ObjectStatus::NotDone)
        return AttemptResult::NotDone;
    return status == ObjectStatus::Unknown ? AttemptResult::Unknown : AttemptResult::Answered;
}

} // namespace

Base::Result<std::unique_ptr<ObjectGateway>>
ObjectGateway::create(const ObjectGatewayPolicy &policy, ObjectStore &store,
                      Base::RandomSource &random)
{
    const bool hasRates = policy.fleetGetsPerSecond > 0 && policy.fleetPutsPerSecond > 0;
    if (!hasRates || !isUsable(policy.gets) || !isUsable(policy.puts))
        return boost::leaf::new_error(UnusableObjectPolicy{});
    return std::unique_ptr<ObjectGateway>(new ObjectGateway(policy, store, random));
}

ObjectGateway::ObjectGateway(const ObjectGatewayPolicy &policy, ObjectStore &store,
                             Base::RandomSource &random)
    : m_policy(policy)
    , m_store(&store)
    , m_gets(CallKind::Read, policy.gets, m_attempts, random)
    , m_puts(CallKind::Write, policy.puts, m_attempts, random)
{
    setFleetSize(1);
}

void ObjectGateway::put(OperationId operation, const std::string &key, const std::string &value)
{
    m_calls[operation] = {key, value};
    m_puts.add(operation);
}

void ObjectGateway::get(OperationId operation, const std::string &key)
{
    m_calls[operation].key = key;
    m_gets.add(operation);
}

void ObjectGateway::setFleetSize(std::size_t routers)
{
    const double share = 1.0 / static_cast<double>(std::max<std::size_t>(routers, 1));
    m_gets.setRate(m_policy.fleetGetsPerSecond * share);
    m_puts.setRate(m_policy.fleetPutsPerSecond * share);
}

void ObjectGateway::advance(Base::TimePoint now)
{
    // Unlike TableGateway, this gateway sends no probing reads of its own, so a put may serve as
    // the trial call of its breaker.
    m_gets.advance(now, true);
    m_puts.advance(now, true);
    collectFailedCalls(m_gets);
    collectFailedCalls(m_puts);
    for (const CallQueue::Attempt &it : m_gets.takeAttempts())
        m_store->get(it.attempt, m_calls.at(it.call).key);
    for (const CallQueue::Attempt &it : m_puts.takeAttempts()) {
        const Call &call = m_calls.at(it.call);
        m_store->put(it.attempt, call.key, call.value);
    }
}

Base::TimePoint ObjectGateway::nextDue() const
{
    if (!m_outcomes.empty())
        return Base::TimePoint::min();
    return std::min(m_gets.nextDue(), m_puts.nextDue());
}

void ObjectGateway::handle(const ObjectOutcome &outcome, Base::TimePoint now)
{
    const AttemptResult result = attemptResult(outcome.status);
    std::optional<OperationId> call = m_gets.finishAttempt(outcome.operation, result, now);
    if (!call)
        call = m_puts.finishAttempt(outcome.operation, result, now);
    collectFailedCalls(m_gets);
    collectFailedCalls(m_puts);
    if (!call)
        return;
    m_calls.erase(*call);
    m_outcomes.push_back({*call, outcome.status, outcome.value});
}

void ObjectGateway::collectFailedCalls(CallQueue &queue)
{
    for (const CallQueue::FailedCall &it : queue.takeFailedCalls()) {
        m_calls.erase(it.call);
        const ObjectStatus status =
            it.mayHaveEffect ? ObjectStatus::Unknown : ObjectStatus::NotDone;
        m_outcomes.push_back({it.call, status, {}});
    }
}

} // namespace Storage
