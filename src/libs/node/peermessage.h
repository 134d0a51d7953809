#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "coordination/heartbeat.h"
#include "coordination/ledgerdelta.h"
#include "coordination/trafficmeter.h"
#include "node/backendclient.h"
#include "scheduling/admissionpolicy.h"
#include "scheduling/concurrencylimiter.h"
#include "settings/configuration.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Node {

/// Sent by the entry host to the home to request a permit. It is sent again when the home changes.
/// A home ignores it if the attempt already waits there, and repeats the grant if it already has a
/// permit.
struct PermitRequest
{
    AttemptId attempt;
    Base::PoolId pool;
    std::uint32_t shard = 0;
    Base::CustomerId customer;
    Base::ClassId workClass;
    /// Time since the request arrived at the entry host.
    Base::Milliseconds waited{0};
    /// Time left until the start target of the class; negative once the target is missed.
    Base::Milliseconds startWithin{0};
    /// Time left until the caller's deadline.
    std::optional<Base::Milliseconds> deadlineWithin;
    Base::ServiceUnits expectedCost = 0;
    std::uint64_t prefix = 0;

    bool operator==(const PermitRequest &) const = default;
};

/// Sent by the home to the entry host to grant a permit: the attempt may be sent to this server.
struct PermitGrant
{
    AttemptId attempt;
    Base::PoolId pool;
    std::uint32_t shard = 0;
    Base::ServerId server;

    bool operator==(const PermitGrant &) const = default;
};

/// Sent by the home to the entry host: the attempt gets no permit.
struct PermitRefusal
{
    AttemptId attempt;
    Scheduling::RefusalReason reason = Scheduling::RefusalReason::NoServer;
    Base::Milliseconds retryAfter{0};

    bool operator==(const PermitRefusal &) const = default;
};

/// Sent by the entry host to the home: the attempt no longer needs a permit, for example because
/// the caller disconnected.
struct PermitCancel
{
    AttemptId attempt;
    Base::PoolId pool;
    std::uint32_t shard = 0;

    bool operator==(const PermitCancel &) const = default;
};

/// Sent by the entry host to the home: the permit is free again. Reports the outcome, the times
/// and the service received.
struct PermitRelease
{
    AttemptId attempt;
    Base::PoolId pool;
    std::uint32_t shard = 0;
    Base::ServerId server;
    Scheduling::PermitOutcome outcome = Scheduling::PermitOutcome::Completed;
    std::optional<Base::Milliseconds> firstToken;
    Base::Milliseconds whole{0};
    /// All service received under the permit. It is a total, so that a lost ServiceCharge does not
    /// matter.
    Base::ServiceUnits units = 0;

    bool operator==(const PermitRelease &) const = default;
};

/// Sent by the entry host to the home: service received under a permit that is still in use.
struct ServiceCharge
{
    AttemptId attempt;
    Base::PoolId pool;
    std::uint32_t shard = 0;
    /// All service received under the permit so far.
    Base::ServiceUnits units = 0;

    bool operator==(const ServiceCharge &) const = default;
};

/// Sent by the entry host to a new home: a permit that an earlier home granted is still in use.
struct PermitHeld
{
    AttemptId attempt;
    Base::PoolId pool;
    std::uint32_t shard = 0;
    Base::ServerId server;
    Base::CustomerId customer;
    Base::ClassId workClass;
    /// Service already reported to the earlier home.
    Base::ServiceUnits units = 0;

    bool operator==(const PermitHeld &) const = default;
};

/// Sent by the home to the entry host to query whether permits are still in use. The entry host
/// replies with a PermitRelease for each one that is not.
struct PermitQuery
{
    std::vector<AttemptId> attempts;
    Base::PoolId pool;
    std::uint32_t shard = 0;

    bool operator==(const PermitQuery &) const = default;
};

/// Sent periodically by the entry host to a home where its requests wait: the count and a hash of
/// the attempts that it expects to wait there. It detects lost permit requests, lost grants and a
/// failed home.
struct WaitingDigest
{
    Base::PoolId pool;
    std::uint32_t shard = 0;
    /// Serial number of the digest; the reply repeats it.
    std::uint64_t number = 0;
    std::uint32_t count = 0;
    /// Hash of all waiting attempts; it does not depend on their order.
    std::uint64_t hash = 0;

    bool operator==(const WaitingDigest &) const = default;
};

/// Sent by the home in reply to a WaitingDigest: whether the digest matches. If not, it lists the
/// attempts that wait for that entry host, so that only missing ones are requested again.
struct WaitingReply
{
    Base::PoolId pool;
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
    bool isMatch = false;
    std::vector<AttemptId> attempts;

    bool operator==(const WaitingReply &) const = default;
};

/// Configuration changes that the receiver lacks, according to the version in its heartbeat or
/// pull.
struct ConfigurationPush
{
    std::vector<Settings::ConfigurationChange> changes;

    bool operator==(const ConfigurationPush &) const = default;
};

/// The whole configuration, for a receiver that is too far behind for single changes.
struct ConfigurationSnapshot
{
    Settings::Configuration configuration;

    bool operator==(const ConfigurationSnapshot &) const = default;
};

/// Requests the configuration changes after \a version. It is sent by a router that lacks the
/// current configuration, for example after a cold start.
struct ConfigurationPull
{
    Settings::ConfigurationVersion version = 0;

    bool operator==(const ConfigurationPull &) const = default;
};

/// Sent by the home of an idle shard to the home of another shard of the same pool, to request
/// waiting work.
struct WorkAsk
{
    Base::PoolId pool;
    /// The shard that is to hand over work.
    std::uint32_t shard = 0;
    /// The idle shard that requests work.
    std::uint32_t asker = 0;
    /// Number of requests that it can take.
    std::uint32_t count = 0;

    bool operator==(const WorkAsk &) const = default;
};

/// Sent by one home to another: the receiver takes over these permit requests and replies directly
/// to their entry hosts.
struct WorkHandover
{
    Base::PoolId pool;
    /// The shard that takes the requests.
    std::uint32_t shard = 0;
    std::uint32_t from = 0;
    /// Whether it replies to a WorkAsk. Such a reply is sent even if there is nothing to hand over.
    bool isAnswer = false;
    std::vector<PermitRequest> requests;

    bool operator==(const WorkHandover &) const = default;
};

using PeerMessage =
    std::variant<Coordination::Heartbeat, PermitRequest, PermitGrant, PermitRefusal, PermitCancel,
                 PermitRelease, ServiceCharge, PermitHeld, PermitQuery, WaitingDigest, WaitingReply,
                 Coordination::LedgerDelta, ConfigurationPush, ConfigurationSnapshot,
                 ConfigurationPull, WorkAsk, WorkHandover>;

/// Returns the kind of traffic that the message counts as.
Coordination::TrafficKind trafficKind(const PeerMessage &message);

} // namespace Node
