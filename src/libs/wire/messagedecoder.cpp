#include "wire/messagedecoder.h"

#include "settings/changecodec.h"
#include "wire/wireconstants.h"

#include <variant>

namespace Wire::Internal {

namespace Proto = lagoonmast::wire;

namespace {

using Base::Milliseconds;
using Base::Result;
using Node::PeerMessage;

boost::leaf::error_id makeError(BatchFault which)
{
    return boost::leaf::new_error(MalformedBatch{which});
}

Result<Milliseconds> decodeDuration(std::int64_t milliseconds)
{
    const std::int64_t limit = largestDuration.count();
    if (milliseconds > limit || milliseconds < -limit)
        return makeError(BatchFault::DurationTooLong);
    return Milliseconds(milliseconds);
}

Result<Milliseconds> decodeDuration(std::uint64_t milliseconds)
{
    return decodeDuration(static_cast<std::int64_t>(milliseconds));
}

Result<Settings::ConfigurationChange> decodeChange(const Proto::Change &from)
{
    // The error of the text is replaced, so that decoding a batch has a single type of error.
    return boost::leaf::try_handle_some(
        [&]() -> Result<Settings::ConfigurationChange> {
            return Settings::decodeChange(from.version(), from.text());
        },
        [](const Settings::MalformedChange &) -> Result<Settings::ConfigurationChange> {
            return makeError(BatchFault::MalformedChange);
        });
}

Coordination::LedgerStart decodeLedgerStart(const Proto::LedgerStart &from)
{
    return {Base::HostId(from.host()), from.incarnation(), from.epoch()};
}

Coordination::LedgerEntry decodeLedgerEntry(const Proto::LedgerEntry &from)
{
    Coordination::LedgerEntry to;
    to.customer = Base::CustomerId(from.customer());
    to.charged = from.charged();
    to.lifted = from.lifted();
    to.forgiven = from.forgiven();
    to.round = from.round();
    to.settled = from.settled();
    for (const Proto::SeenCharge &seen : from.seen())
        to.seen.push_back({seen.start(), seen.charged()});
    return to;
}

} // namespace

MessageDecoder::MessageDecoder(const Proto::Batch &batch, const Base::HostId &receiver)
    : m_sender(batch.sender())
    , m_senderIncarnation(batch.incarnation())
    , m_receiver(receiver)
    , m_receiverIncarnation(batch.receiver_incarnation())
{}

Result<PeerMessage> MessageDecoder::decode(const Proto::Message &from) const
{
    switch (from.body_case()) {
    case Proto::Message::kHeartbeat:
        return decode(from.heartbeat());
    case Proto::Message::kPermitRequest: {
        BOOST_LEAF_AUTO(permitRequest, decodeRequest(from.permit_request()));
        return PeerMessage(permitRequest);
    }
    case Proto::Message::kPermitGrant:
        return decode(from.permit_grant());
    case Proto::Message::kPermitRefusal:
        return decode(from.permit_refusal());
    case Proto::Message::kPermitCancel:
        return decode(from.permit_cancel());
    case Proto::Message::kPermitRelease:
        return decode(from.permit_release());
    case Proto::Message::kServiceCharge:
        return decode(from.service_charge());
    case Proto::Message::kPermitHeld:
        return decode(from.permit_held());
    case Proto::Message::kPermitQuery:
        return decode(from.permit_query());
    case Proto::Message::kWaitingDigest: {
        const Proto::WaitingDigest &digest = from.waiting_digest();
        return PeerMessage(Node::WaitingDigest{Base::PoolId(digest.pool().name()),
                                               digest.pool().shard(), digest.number(),
                                               digest.count(), digest.hash()});
    }
    case Proto::Message::kWaitingReply:
        return decode(from.waiting_reply());
    case Proto::Message::kLedgerDelta:
        return decode(from.ledger_delta());
    case Proto::Message::kConfigurationPush:
        return decode(from.configuration_push());
    case Proto::Message::kConfigurationSnapshot:
        return decode(from.configuration_snapshot());
    case Proto::Message::kConfigurationPull:
        return PeerMessage(Node::ConfigurationPull{from.configuration_pull().version()});
    case Proto::Message::kWorkAsk: {
        const Proto::WorkAsk &ask = from.work_ask();
        return PeerMessage(Node::WorkAsk{Base::PoolId(ask.pool().name()), ask.pool().shard(),
                                         ask.asker(), ask.count()});
    }
    case Proto::Message::kWorkHandover:
        return decode(from.work_handover());
    case Proto::Message::BODY_NOT_SET:
        break;
    }
    return makeError(BatchFault::EmptyMessage);
}

Result<Node::AttemptId> MessageDecoder::decodeAttempt(const Proto::Attempt &from) const
{
    Node::AttemptId to;
    to.number = from.number();
    to.request.serial = from.serial();
    if (from.receivers()) {
        to.request.entry = m_receiver;
        to.request.incarnation = m_receiverIncarnation;
        return to;
    }
    if (from.entry().empty()) {
        to.request.entry = m_sender;
        to.request.incarnation = m_senderIncarnation;
        return to;
    }
    to.request.entry = Base::HostId(from.entry());
    to.request.incarnation = from.incarnation();
    return to;
}

Result<Node::PermitRequest> MessageDecoder::decodeRequest(const Proto::PermitRequest &from) const
{
    if (!from.has_attempt())
        return makeError(BatchFault::MissingAttempt);
    Node::PermitRequest to;
    BOOST_LEAF_ASSIGN(to.attempt, decodeAttempt(from.attempt()));
    to.pool = Base::PoolId(from.pool().name());
    to.shard = from.pool().shard();
    to.customer = Base::CustomerId(from.customer());
    to.workClass = Base::ClassId(from.work_class());
    BOOST_LEAF_ASSIGN(to.waited, decodeDuration(from.waited_ms()));
    BOOST_LEAF_ASSIGN(to.startWithin, decodeDuration(std::int64_t(from.start_within_ms())));
    if (from.has_deadline_within_ms()) {
        BOOST_LEAF_ASSIGN(to.deadlineWithin,
                          decodeDuration(std::int64_t(from.deadline_within_ms())));
    }
    to.expectedCost = from.expected_cost();
    to.prefix = from.prefix();
    return to;
}

Result<PeerMessage> MessageDecoder::decode(const Proto::PermitGrant &from) const
{
    if (!from.has_attempt())
        return makeError(BatchFault::MissingAttempt);
    Node::PermitGrant to;
    BOOST_LEAF_ASSIGN(to.attempt, decodeAttempt(from.attempt()));
    to.pool = Base::PoolId(from.pool().name());
    to.shard = from.pool().shard();
    to.server = Base::ServerId(from.server());
    return PeerMessage(to);
}

Result<PeerMessage> MessageDecoder::decode(const Proto::PermitRefusal &from) const
{
    if (!from.has_attempt())
        return makeError(BatchFault::MissingAttempt);
    if (from.reason() > static_cast<std::uint32_t>(Scheduling::RefusalReason::NoServer))
        return makeError(BatchFault::UnknownEnumerator);
    Node::PermitRefusal to;
    BOOST_LEAF_ASSIGN(to.attempt, decodeAttempt(from.attempt()));
    to.reason = static_cast<Scheduling::RefusalReason>(from.reason());
    BOOST_LEAF_ASSIGN(to.retryAfter, decodeDuration(from.retry_after_ms()));
    return PeerMessage(to);
}

Result<PeerMessage> MessageDecoder::decode(const Proto::PermitCancel &from) const
{
    if (!from.has_attempt())
        return makeError(BatchFault::MissingAttempt);
    Node::PermitCancel to;
    BOOST_LEAF_ASSIGN(to.attempt, decodeAttempt(from.attempt()));
    to.pool = Base::PoolId(from.pool().name());
    to.shard = from.pool().shard();
    return PeerMessage(to);
}

Result<PeerMessage> MessageDecoder::decode(const Proto::PermitRelease &from) const
{
    if (!from.has_attempt())
        return makeError(BatchFault::MissingAttempt);
    if (from.outcome() > static_cast<std::uint32_t>(Scheduling::PermitOutcome::Failed))
        return makeError(BatchFault::UnknownEnumerator);
    Node::PermitRelease to;
    BOOST_LEAF_ASSIGN(to.attempt, decodeAttempt(from.attempt()));
    to.pool = Base::PoolId(from.pool().name());
    to.shard = from.pool().shard();
    to.server = Base::ServerId(from.server());
    to.outcome = static_cast<Scheduling::PermitOutcome>(from.outcome());
    if (from.has_first_token_ms()) {
        BOOST_LEAF_ASSIGN(to.firstToken, decodeDuration(from.first_token_ms()));
    }
    BOOST_LEAF_ASSIGN(to.whole, decodeDuration(from.whole_ms()));
    to.units = from.units();
    return PeerMessage(to);
}

Result<PeerMessage> MessageDecoder::decode(const Proto::ServiceCharge &from) const
{
    if (!from.has_attempt())
        return makeError(BatchFault::MissingAttempt);
    Node::ServiceCharge to;
    BOOST_LEAF_ASSIGN(to.attempt, decodeAttempt(from.attempt()));
    to.pool = Base::PoolId(from.pool().name());
    to.shard = from.pool().shard();
    to.units = from.units();
    return PeerMessage(to);
}

Result<PeerMessage> MessageDecoder::decode(const Proto::PermitHeld &from) const
{
    if (!from.has_attempt())
        return makeError(BatchFault::MissingAttempt);
    Node::PermitHeld to;
    BOOST_LEAF_ASSIGN(to.attempt, decodeAttempt(from.attempt()));
    to.pool = Base::PoolId(from.pool().name());
    to.shard = from.pool().shard();
    to.server = Base::ServerId(from.server());
    to.customer = Base::CustomerId(from.customer());
    to.workClass = Base::ClassId(from.work_class());
    to.units = from.units();
    return PeerMessage(to);
}

Result<PeerMessage> MessageDecoder::decode(const Proto::PermitQuery &from) const
{
    Node::PermitQuery to;
    for (const Proto::Attempt &it : from.attempts()) {
        BOOST_LEAF_AUTO(attemptId, decodeAttempt(it));
        to.attempts.push_back(attemptId);
    }
    to.pool = Base::PoolId(from.pool().name());
    to.shard = from.pool().shard();
    return PeerMessage(to);
}

Result<PeerMessage> MessageDecoder::decode(const Proto::WaitingReply &from) const
{
    Node::WaitingReply to;
    to.pool = Base::PoolId(from.pool().name());
    to.shard = from.pool().shard();
    to.number = from.number();
    to.isMatch = from.match();
    for (const Proto::Attempt &it : from.attempts()) {
        BOOST_LEAF_AUTO(attemptId, decodeAttempt(it));
        to.attempts.push_back(attemptId);
    }
    return PeerMessage(to);
}

Result<PeerMessage> MessageDecoder::decode(const Proto::WorkHandover &from) const
{
    Node::WorkHandover to;
    to.pool = Base::PoolId(from.pool().name());
    to.shard = from.pool().shard();
    to.from = from.from();
    to.isAnswer = from.answer();
    for (const Proto::PermitRequest &it : from.requests()) {
        BOOST_LEAF_AUTO(permitRequest, decodeRequest(it));
        to.requests.push_back(permitRequest);
    }
    return PeerMessage(to);
}

Result<PeerMessage> MessageDecoder::decode(const Proto::Heartbeat &from) const
{
    Coordination::Heartbeat to;
    to.host = m_sender;
    to.incarnation = m_senderIncarnation;
    to.sequence = from.sequence();
    to.state =
        from.leaving() ? Coordination::MemberState::Leaving : Coordination::MemberState::Live;
    to.configurationVersion = from.configuration_version();
    to.isFull = from.full();
    BOOST_LEAF_ASSIGN(to.interval, decodeDuration(from.interval_ms()));
    to.zone = Base::ZoneId(from.zone());
    to.peerAddress = from.peer_address();
    to.callerAddress = from.caller_address();
    for (const Proto::LeavingMark &mark : from.leaving_marks())
        to.leaving.push_back({mark.name(), mark.incarnation()});
    for (const Proto::PoolSummary &pool : from.pools())
        to.pools.push_back({Base::PoolId(pool.pool().name()), pool.pool().shard(), pool.waiting(),
                            pool.free_permits(), pool.drain_rate()});
    return PeerMessage(to);
}

Result<PeerMessage> MessageDecoder::decode(const Proto::LedgerDelta &from) const
{
    Coordination::LedgerDelta to;
    to.sender = m_sender;
    to.incarnation = m_senderIncarnation;
    to.pool = Base::PoolId(from.pool());
    to.epoch = from.epoch();
    to.floor = from.floor();
    to.isFull = from.full();
    to.isSnapshot = from.snapshot();
    to.isSnapshotRequest = from.asking();
    for (const Proto::LedgerEntry &entry : from.entries())
        to.entries.push_back(decodeLedgerEntry(entry));
    for (const Proto::FoldedStart &folded : from.folded()) {
        if (folded.age_seconds() > static_cast<std::uint64_t>(largestFoldedAge.count()))
            return makeError(BatchFault::DurationTooLong);
        to.folded.push_back(
            {decodeLedgerStart(folded.start()), std::chrono::seconds(folded.age_seconds())});
    }
    for (const Proto::LedgerStart &start : from.starts())
        to.starts.push_back(decodeLedgerStart(start));
    return PeerMessage(to);
}

Result<PeerMessage> MessageDecoder::decode(const Proto::ConfigurationPush &from) const
{
    Node::ConfigurationPush to;
    for (const Proto::Change &it : from.changes()) {
        BOOST_LEAF_AUTO(decoded, decodeChange(it));
        to.changes.push_back(decoded);
    }
    return PeerMessage(to);
}

Result<PeerMessage> MessageDecoder::decode(const Proto::ConfigurationSnapshot &from) const
{
    Node::ConfigurationSnapshot to;
    to.configuration.setVersion(from.version());
    for (const Proto::Change &it : from.entries()) {
        BOOST_LEAF_AUTO(decoded, decodeChange(it));
        if (const auto *target = std::get_if<Settings::ClassTarget>(&decoded.what))
            to.configuration.insert(Settings::VersionedTarget{*target, decoded.version});
        else if (const auto *customer = std::get_if<Settings::Customer>(&decoded.what))
            to.configuration.insert(*customer);
        else
            return makeError(BatchFault::MalformedChange);
    }
    return PeerMessage(to);
}

} // namespace Wire::Internal
