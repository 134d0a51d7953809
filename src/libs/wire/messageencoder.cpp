#include "wire/messageencoder.h"

#include "settings/changecodec.h"

namespace Wire::Internal {

namespace Proto = lagoonmast::wire;

namespace {

void encodePool(Proto::Pool &to, const Base::PoolId &pool, std::uint32_t shard)
{
    to.set_name(pool.value());
    to.set_shard(shard);
}

void encodeChange(Proto::Change &to, Settings::ConfigurationVersion version,
                  const Settings::ConfigurationChange &change)
{
    to.set_version(version);
    to.set_text(Settings::encodeChange(change));
}

void encodeLedgerStart(Proto::LedgerStart &to, const Coordination::LedgerStart &from)
{
    to.set_host(from.host.value());
    to.set_incarnation(from.incarnation);
    to.set_epoch(from.epoch);
}

void encodeLedgerEntry(Proto::LedgerEntry &to, const Coordination::LedgerEntry &from)
{
    to.set_customer(from.customer.value());
    to.set_charged(from.charged);
    to.set_lifted(from.lifted);
    to.set_forgiven(from.forgiven);
    to.set_round(from.round);
    to.set_settled(from.settled);
    for (const Coordination::SeenCharge &seen : from.seen) {
        Proto::SeenCharge &added = *to.add_seen();
        added.set_start(seen.start);
        added.set_charged(seen.charged);
    }
}

} // namespace

MessageEncoder::MessageEncoder(Proto::Batch &batch, const BatchEndpoints &endpoints,
                               Proto::Message &message)
    : m_batch(&batch)
    , m_endpoints(&endpoints)
    , m_message(&message)
{}

void MessageEncoder::operator()(const Coordination::Heartbeat &from)
{
    Proto::Heartbeat &to = *m_message->mutable_heartbeat();
    to.set_sequence(from.sequence);
    to.set_leaving(from.state == Coordination::MemberState::Leaving);
    to.set_configuration_version(from.configurationVersion);
    to.set_full(from.isFull);
    to.set_interval_ms(static_cast<std::uint64_t>(from.interval.count()));
    to.set_zone(from.zone.value());
    to.set_peer_address(from.peerAddress);
    to.set_caller_address(from.callerAddress);
    for (const Coordination::LeavingMark &mark : from.leaving) {
        Proto::LeavingMark &added = *to.add_leaving_marks();
        added.set_name(mark.name);
        added.set_incarnation(mark.incarnation);
    }
    for (const Coordination::PoolSummary &pool : from.pools) {
        Proto::PoolSummary &added = *to.add_pools();
        encodePool(*added.mutable_pool(), pool.pool, pool.shard);
        added.set_waiting(pool.waiting);
        added.set_free_permits(pool.freePermits);
        added.set_drain_rate(static_cast<float>(pool.drainRate));
    }
}

void MessageEncoder::operator()(const Node::PermitRequest &from)
{
    encodeRequest(*m_message->mutable_permit_request(), from);
}

void MessageEncoder::operator()(const Node::PermitGrant &from)
{
    Proto::PermitGrant &to = *m_message->mutable_permit_grant();
    encodeAttempt(*to.mutable_attempt(), from.attempt);
    encodePool(*to.mutable_pool(), from.pool, from.shard);
    to.set_server(from.server.value());
}

void MessageEncoder::operator()(const Node::PermitRefusal &from)
{
    Proto::PermitRefusal &to = *m_message->mutable_permit_refusal();
    encodeAttempt(*to.mutable_attempt(), from.attempt);
    to.set_reason(static_cast<std::uint32_t>(from.reason));
    to.set_retry_after_ms(static_cast<std::uint64_t>(from.retryAfter.count()));
}

void MessageEncoder::operator()(const Node::PermitCancel &from)
{
    Proto::PermitCancel &to = *m_message->mutable_permit_cancel();
    encodeAttempt(*to.mutable_attempt(), from.attempt);
    encodePool(*to.mutable_pool(), from.pool, from.shard);
}

void MessageEncoder::operator()(const Node::PermitRelease &from)
{
    Proto::PermitRelease &to = *m_message->mutable_permit_release();
    encodeAttempt(*to.mutable_attempt(), from.attempt);
    encodePool(*to.mutable_pool(), from.pool, from.shard);
    to.set_server(from.server.value());
    to.set_outcome(static_cast<std::uint32_t>(from.outcome));
    if (from.firstToken)
        to.set_first_token_ms(static_cast<std::uint64_t>(from.firstToken->count()));
    to.set_whole_ms(static_cast<std::uint64_t>(from.whole.count()));
    to.set_units(from.units);
}

void MessageEncoder::operator()(const Node::ServiceCharge &from)
{
    Proto::ServiceCharge &to = *m_message->mutable_service_charge();
    encodeAttempt(*to.mutable_attempt(), from.attempt);
    encodePool(*to.mutable_pool(), from.pool, from.shard);
    to.set_units(from.units);
}

void MessageEncoder::operator()(const Node::PermitHeld &from)
{
    Proto::PermitHeld &to = *m_message->mutable_permit_held();
    encodeAttempt(*to.mutable_attempt(), from.attempt);
    encodePool(*to.mutable_pool(), from.pool, from.shard);
    to.set_server(from.server.value());
    to.set_customer(from.customer.value());
    to.set_units(from.units);
    to.set_work_class(from.workClass.value());
}

void MessageEncoder::operator()(const Node::PermitQuery &from)
{
    Proto::PermitQuery &to = *m_message->mutable_permit_query();
    for (const Node::AttemptId &attempt : from.attempts)
        encodeAttempt(*to.add_attempts(), attempt);
    encodePool(*to.mutable_pool(), from.pool, from.shard);
}

void MessageEncoder::operator()(const Node::WaitingDigest &from)
{
    Proto::WaitingDigest &to = *m_message->mutable_waiting_digest();
    encodePool(*to.mutable_pool(), from.pool, from.shard);
    to.set_number(from.number);
    to.set_count(from.count);
    to.set_hash(from.hash);
}

void MessageEncoder::operator()(const Node::WaitingReply &from)
{
    Proto::WaitingReply &to = *m_message->mutable_waiting_reply();
    encodePool(*to.mutable_pool(), from.pool, from.shard);
    to.set_number(from.number);
    to.set_match(from.isMatch);
    for (const Node::AttemptId &attempt : from.attempts)
        encodeAttempt(*to.add_attempts(), attempt);
}

void MessageEncoder::operator()(const Coordination::LedgerDelta &from)
{
    Proto::LedgerDelta &to = *m_message->mutable_ledger_delta();
    to.set_pool(from.pool.value());
    to.set_epoch(from.epoch);
    to.set_floor(from.floor);
    to.set_full(from.isFull);
    to.set_snapshot(from.isSnapshot);
    to.set_asking(from.isSnapshotRequest);
    for (const Coordination::LedgerEntry &entry : from.entries)
        encodeLedgerEntry(*to.add_entries(), entry);
    for (const Coordination::FoldedStart &folded : from.folded) {
        Proto::FoldedStart &added = *to.add_folded();
        encodeLedgerStart(*added.mutable_start(), folded.start);
        added.set_age_seconds(static_cast<std::uint64_t>(folded.age.count()));
    }
    for (const Coordination::LedgerStart &start : from.starts)
        encodeLedgerStart(*to.add_starts(), start);
}

void MessageEncoder::operator()(const Node::ConfigurationPush &from)
{
    Proto::ConfigurationPush &to = *m_message->mutable_configuration_push();
    for (const Settings::ConfigurationChange &change : from.changes)
        encodeChange(*to.add_changes(), change.version, change);
}

void MessageEncoder::operator()(const Node::ConfigurationSnapshot &from)
{
    Proto::ConfigurationSnapshot &to = *m_message->mutable_configuration_snapshot();
    to.set_version(from.configuration.version());
    for (const auto &[name, target] : from.configuration.targets())
        encodeChange(*to.add_entries(), target.version, {target.version, target.target});
    for (const auto &[id, customer] : from.configuration.customers())
        encodeChange(*to.add_entries(), 0, {0, customer});
}

void MessageEncoder::operator()(const Node::ConfigurationPull &from)
{
    m_message->mutable_configuration_pull()->set_version(from.version);
}

void MessageEncoder::operator()(const Node::WorkAsk &from)
{
    Proto::WorkAsk &to = *m_message->mutable_work_ask();
    encodePool(*to.mutable_pool(), from.pool, from.shard);
    to.set_asker(from.asker);
    to.set_count(from.count);
}

void MessageEncoder::operator()(const Node::WorkHandover &from)
{
    Proto::WorkHandover &to = *m_message->mutable_work_handover();
    encodePool(*to.mutable_pool(), from.pool, from.shard);
    to.set_from(from.from);
    to.set_answer(from.isAnswer);
    for (const Node::PermitRequest &request : from.requests)
        encodeRequest(*to.add_requests(), request);
}

void MessageEncoder::encodeAttempt(Proto::Attempt &to, const Node::AttemptId &from)
{
    to.set_serial(from.request.serial);
    to.set_number(from.number);
    const bool belongsToSender = from.request.entry == m_endpoints->sender
                                 && from.request.incarnation == m_endpoints->senderIncarnation;
    if (belongsToSender)
        return;
    if (belongsToReceiver(from.request)) {
        to.set_receivers(true);
        return;
    }
    to.set_entry(from.request.entry.value());
    to.set_incarnation(from.request.incarnation);
}

bool MessageEncoder::belongsToReceiver(const Base::RequestKey &request)
{
    if (request.entry != m_endpoints->receiver || request.incarnation == 0)
        return false;
    // The receiver may have restarted since it sent the request. Its current incarnation must not
    // replace the one that the attempt belongs to, so the batch names the incarnation once.
    if (m_batch->receiver_incarnation() == 0)
        m_batch->set_receiver_incarnation(request.incarnation);
    return m_batch->receiver_incarnation() == request.incarnation;
}

void MessageEncoder::encodeRequest(Proto::PermitRequest &to, const Node::PermitRequest &from)
{
    encodeAttempt(*to.mutable_attempt(), from.attempt);
    encodePool(*to.mutable_pool(), from.pool, from.shard);
    to.set_customer(from.customer.value());
    to.set_work_class(from.workClass.value());
    to.set_waited_ms(static_cast<std::uint64_t>(from.waited.count()));
    to.set_start_within_ms(from.startWithin.count());
    if (from.deadlineWithin)
        to.set_deadline_within_ms(from.deadlineWithin->count());
    to.set_expected_cost(from.expectedCost);
    to.set_prefix(from.prefix);
}

} // namespace Wire::Internal
