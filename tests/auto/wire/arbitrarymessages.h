#pragma once

#include "node/peermessage.h"
#include "wire/wireconstants.h"

#include <rapidcheck.h>

#include <optional>
#include <string>

/// Generators of arbitrary messages between routers, within the ranges that a node produces.
namespace Arbitrary {

inline std::string name()
{
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::inRange('a', 'e')));
}

template <typename Id>
Id id()
{
    return Id(name());
}

inline Base::Milliseconds duration()
{
    const auto limit = Wire::largestDuration.count();
    return Base::Milliseconds(*rc::gen::inRange<std::int64_t>(-limit, limit + 1));
}

inline std::optional<Base::Milliseconds> maybeDuration()
{
    if (*rc::gen::arbitrary<bool>())
        return std::nullopt;
    return duration();
}

template <typename Number>
Number number()
{
    return *rc::gen::arbitrary<Number>();
}

/// Returns one of few hosts. Hosts and incarnations are few, so that attempts of the sender and of
/// the receiver are common.
inline Base::HostId host()
{
    return Base::HostId(*rc::gen::element<std::string>("r1", "r2", "r3"));
}

inline Base::Incarnation incarnation()
{
    return *rc::gen::element<Base::Incarnation>(1, 2, 1796243984000000);
}

inline Node::AttemptId attempt()
{
    return {{host(), incarnation(), number<std::uint64_t>()}, number<std::uint32_t>()};
}

inline Node::PermitRequest permitRequest()
{
    Node::PermitRequest it;
    it.attempt = attempt();
    it.pool = id<Base::PoolId>();
    it.shard = number<std::uint32_t>();
    it.customer = id<Base::CustomerId>();
    it.workClass = id<Base::ClassId>();
    it.waited = duration();
    it.startWithin = duration();
    it.deadlineWithin = maybeDuration();
    it.expectedCost = number<std::uint64_t>();
    it.prefix = number<std::uint64_t>();
    return it;
}

inline Node::PermitRelease permitRelease()
{
    Node::PermitRelease it;
    it.attempt = attempt();
    it.pool = id<Base::PoolId>();
    it.shard = number<std::uint32_t>();
    it.server = id<Base::ServerId>();
    it.outcome = *rc::gen::element(
        Scheduling::PermitOutcome::Completed, Scheduling::PermitOutcome::Cancelled,
        Scheduling::PermitOutcome::NotUsed, Scheduling::PermitOutcome::Failed);
    it.firstToken = maybeDuration();
    it.whole = duration();
    it.units = number<std::uint64_t>();
    return it;
}

inline Node::PermitRefusal permitRefusal()
{
    using Scheduling::RefusalReason;
    const RefusalReason reason = *rc::gen::element(
        RefusalReason::CustomerQueueFull, RefusalReason::PoolQueueFull,
        RefusalReason::DeadlineUnmeetable, RefusalReason::DeadlinePassed, RefusalReason::NoServer);
    return {attempt(), reason, duration()};
}

inline Coordination::Heartbeat heartbeat(const Base::HostId &sender, Base::Incarnation start)
{
    Coordination::Heartbeat it;
    it.host = sender;
    it.incarnation = start;
    it.sequence = number<std::uint64_t>();
    it.state =
        number<bool>() ? Coordination::MemberState::Leaving : Coordination::MemberState::Live;
    it.configurationVersion = number<std::uint64_t>();
    it.isFull = number<bool>();
    it.interval = Base::Milliseconds(*rc::gen::inRange(0, 100000));
    it.zone = id<Base::ZoneId>();
    it.peerAddress = name();
    it.callerAddress = name();
    const int marks = *rc::gen::inRange(0, 4);
    for (int i = 0; i < marks; ++i)
        it.leaving.push_back({name(), number<std::uint64_t>()});
    const int pools = *rc::gen::inRange(0, 4);
    for (int i = 0; i < pools; ++i)
        it.pools.push_back({id<Base::PoolId>(), number<std::uint32_t>(), number<std::uint32_t>(),
                            number<std::uint32_t>(),
                            static_cast<double>(*rc::gen::inRange(0, 1000)) / 4});
    return it;
}

inline Coordination::LedgerStart ledgerStart()
{
    return {id<Base::HostId>(), number<std::uint64_t>(), number<std::uint32_t>()};
}

inline Coordination::LedgerEntry ledgerEntry()
{
    Coordination::LedgerEntry it;
    it.customer = id<Base::CustomerId>();
    it.charged = number<std::uint64_t>();
    it.lifted = number<std::uint64_t>();
    it.forgiven = number<std::uint64_t>();
    it.round = number<std::uint64_t>();
    it.settled = number<std::uint64_t>();
    const int seen = *rc::gen::inRange(0, 3);
    for (int i = 0; i < seen; ++i)
        it.seen.push_back({number<std::uint32_t>(), number<std::uint64_t>()});
    return it;
}

inline Coordination::LedgerDelta ledgerDelta(const Base::HostId &sender, Base::Incarnation start)
{
    Coordination::LedgerDelta it;
    it.sender = sender;
    it.incarnation = start;
    it.pool = id<Base::PoolId>();
    it.epoch = number<std::uint32_t>();
    it.floor = number<std::uint64_t>();
    it.isFull = number<bool>();
    it.isSnapshot = number<bool>();
    it.isSnapshotRequest = number<bool>();
    const int entries = *rc::gen::inRange(0, 4);
    for (int i = 0; i < entries; ++i) {
        it.entries.push_back(ledgerEntry());
        it.folded.push_back({ledgerStart(), std::chrono::seconds(*rc::gen::inRange(0, 100000))});
        it.starts.push_back(ledgerStart());
    }
    return it;
}

inline Settings::ClassTarget target()
{
    Settings::ClassTarget it;
    it.name = id<Base::ClassId>();
    it.startWithin = Base::Milliseconds(*rc::gen::inRange(1, 1000000));
    if (number<bool>())
        it.claim = static_cast<double>(*rc::gen::inRange(1, 65)) / 64;
    return it;
}

inline Settings::Customer customer()
{
    return {id<Base::CustomerId>(), std::string(64, *rc::gen::element('0', '7', 'f'))};
}

inline Node::ConfigurationPush push()
{
    Node::ConfigurationPush it;
    const int changes = *rc::gen::inRange(0, 4);
    for (int i = 0; i < changes; ++i) {
        const auto version = number<std::uint64_t>();
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            it.changes.push_back({version, target()});
            break;
        case 1:
            it.changes.push_back({version, customer()});
            break;
        case 2:
            it.changes.push_back({version, Settings::RemoveClass{id<Base::ClassId>()}});
            break;
        default:
            it.changes.push_back({version, Settings::RemoveCustomer{id<Base::CustomerId>()}});
        }
    }
    return it;
}

inline Node::ConfigurationSnapshot snapshot()
{
    Node::ConfigurationSnapshot it;
    it.configuration.setVersion(number<std::uint64_t>());
    const int entries = *rc::gen::inRange(0, 4);
    for (int i = 0; i < entries; ++i) {
        it.configuration.insert(Settings::VersionedTarget{target(), number<std::uint64_t>()});
        // The key digest identifies a customer, so each customer needs a different one.
        Settings::Customer added = customer();
        added.keyDigest += added.id.value();
        it.configuration.insert(added);
    }
    return it;
}

inline Node::PermitQuery permitQuery()
{
    Node::PermitQuery it;
    const int attempts = *rc::gen::inRange(0, 5);
    for (int i = 0; i < attempts; ++i)
        it.attempts.push_back(attempt());
    it.pool = id<Base::PoolId>();
    it.shard = number<std::uint32_t>();
    return it;
}

/// Returns an arbitrary message that \a sender can send.
inline Node::PeerMessage message(const Base::HostId &sender, Base::Incarnation start)
{
    const auto pool = id<Base::PoolId>();
    const auto shard = number<std::uint32_t>();
    switch (*rc::gen::inRange(0, 17)) {
    case 0:
        return heartbeat(sender, start);
    case 1:
        return permitRequest();
    case 2:
        return Node::PermitGrant{attempt(), pool, shard, id<Base::ServerId>()};
    case 3:
        return permitRefusal();
    case 4:
        return Node::PermitCancel{attempt(), pool, shard};
    case 5:
        return permitRelease();
    case 6:
        return Node::ServiceCharge{attempt(), pool, shard, number<std::uint64_t>()};
    case 7:
        return Node::PermitHeld{attempt(),
                                pool,
                                shard,
                                id<Base::ServerId>(),
                                id<Base::CustomerId>(),
                                id<Base::ClassId>(),
                                number<std::uint64_t>()};
    case 8:
        return permitQuery();
    case 9:
        return Node::WaitingDigest{pool, shard, number<std::uint64_t>(), number<std::uint32_t>(),
                                   number<std::uint64_t>()};
    case 10:
        return ledgerDelta(sender, start);
    case 11:
        return push();
    case 12:
        return snapshot();
    case 13:
        return Node::ConfigurationPull{number<std::uint64_t>()};
    case 14:
        return Node::WaitingReply{pool, shard, number<std::uint64_t>(), number<bool>(),
                                  permitQuery().attempts};
    case 15:
        return Node::WorkAsk{pool, shard, number<std::uint32_t>(), number<std::uint32_t>()};
    default:
        return Node::WorkHandover{pool,
                                  shard,
                                  number<std::uint32_t>(),
                                  number<bool>(),
                                  {permitRequest(), permitRequest()}};
    }
}

} // namespace Arbitrary
