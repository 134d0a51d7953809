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

/// Entry to home: this request waits; give it a permit. Sent again when the home changes;
/// a home that knows the attempt already ignores it.
struct PermitRequest
{
    AttemptId attempt;
    Base::PoolId pool;
    std::uint32_t shard = 0;
    Base::CustomerId customer;
    Base::ClassId workClass;
    /// How long the caller has waited so far.
    Base::Milliseconds waited{0};
    /// Left of the class's start target; negative once it is missed.
    Base::Milliseconds startWithin{0};
    /// Left of the caller's deadline.
    std::optional<Base::Milliseconds> deadlineWithin;
    Base::ServiceUnits expectedCost = 0;
    std::uint64_t prefix = 0;

    bool operator==(const PermitRequest &) const = default;
};

/// Home to entry: send the attempt to this server now.
struct PermitGrant
{
    AttemptId attempt;
    Base::PoolId pool;
    std::uint32_t shard = 0;
    Base::ServerId server;

    bool operator==(const PermitGrant &) const = default;
};

/// Home to entry: the final word on an attempt that gets no permit.
struct PermitRefusal
{
    AttemptId attempt;
    Scheduling::RefusalReason reason = Scheduling::RefusalReason::NoServer;
    Base::Milliseconds retryAfter{0};

    bool operator==(const PermitRefusal &) const = default;
};

/// Entry to home: the caller left before a permit came.
struct PermitCancel
{
    AttemptId attempt;
    Base::PoolId pool;
    std::uint32_t shard = 0;

    bool operator==(const PermitCancel &) const = default;
};

/// Entry to home: the permit is free again, and what its use showed.
struct PermitRelease
{
    AttemptId attempt;
    Base::PoolId pool;
    std::uint32_t shard = 0;
    Base::ServerId server;
    Scheduling::PermitOutcome outcome = Scheduling::PermitOutcome::Completed;
    std::optional<Base::Milliseconds> firstToken;
    Base::Milliseconds whole{0};
    /// All service received under the permit. A total, so that a lost charge is made good by the
    /// next.
    Base::ServiceUnits units = 0;

    bool operator==(const PermitRelease &) const = default;
};

/// Entry to home: service received under a permit that is still in use.
struct ServiceCharge
{
    AttemptId attempt;
    Base::PoolId pool;
    std::uint32_t shard = 0;
    /// All service received under the permit so far.
    Base::ServiceUnits units = 0;

    bool operator==(const ServiceCharge &) const = default;
};

/// Entry to a new home: a permit that an earlier home gave and that is in use.
struct PermitHeld
{
    AttemptId attempt;
    Base::PoolId pool;
    std::uint32_t shard = 0;
    Base::ServerId server;
    Base::CustomerId customer;
    Base::ClassId workClass;
    /// What was charged to the earlier home.
    Base::ServiceUnits units = 0;

    bool operator==(const PermitHeld &) const = default;
};

/// Home to entry: are these still in use? Answered with a release for those that are not.
struct PermitQuery
{
    std::vector<AttemptId> attempts;
    Base::PoolId pool;
    std::uint32_t shard = 0;

    bool operator==(const PermitQuery &) const = default;
};

/// Entry to home, while requests wait there: what the entry believes to be waiting, as a count
/// and a hash. Finds permit requests and grants that were lost, and a home that is gone.
struct WaitingDigest
{
    Base::PoolId pool;
    std::uint32_t shard = 0;
    /// Serial number of the digest; the reply repeats it.
    std::uint64_t number = 0;
    std::uint32_t count = 0;
    /// Of all waiting attempts, whatever their order.
    std::uint64_t hash = 0;

    bool operator==(const WaitingDigest &) const = default;
};

/// Home to entry: whether the digest matches; if not, what waits here for that entry, so that
/// only what is missing is asked for again.
struct WaitingReply
{
    Base::PoolId pool;
    std::uint32_t shard = 0;
    std::uint64_t number = 0;
    bool isMatch = false;
    std::vector<AttemptId> attempts;

    bool operator==(const WaitingReply &) const = default;
};

/// Changes that the receiver lacks, as its heartbeat showed.
struct ConfigurationPush
{
    std::vector<Settings::ConfigurationChange> changes;

    bool operator==(const ConfigurationPush &) const = default;
};

/// The whole configuration, for a receiver too far behind for changes.
struct ConfigurationSnapshot
{
    Settings::Configuration configuration;

    bool operator==(const ConfigurationSnapshot &) const = default;
};

/// Asks for the configuration after \a version; sent by a router that starts cold.
struct ConfigurationPull
{
    Settings::ConfigurationVersion version = 0;

    bool operator==(const ConfigurationPull &) const = default;
};

/// Home to home: permits are free at \a asker, a shard of the same pool; hand over work.
struct WorkAsk
{
    Base::PoolId pool;
    /// The shard that is asked.
    std::uint32_t shard = 0;
    std::uint32_t asker = 0;
    std::uint32_t count = 0;

    bool operator==(const WorkAsk &) const = default;
};

/// Home to home: these requests are yours to give permits to; answer their entries directly.
struct WorkHandover
{
    Base::PoolId pool;
    /// The shard that takes the requests.
    std::uint32_t shard = 0;
    std::uint32_t from = 0;
    /// Whether it answers a WorkAsk; then it comes even when there is nothing to hand over.
    bool isAnswer = false;
    std::vector<PermitRequest> requests;

    bool operator==(const WorkHandover &) const = default;
};

using PeerMessage =
    std::variant<Coordination::Heartbeat, PermitRequest, PermitGrant, PermitRefusal, PermitCancel,
                 PermitRelease, ServiceCharge, PermitHeld, PermitQuery, WaitingDigest, WaitingReply,
                 Coordination::LedgerDelta, ConfigurationPush, ConfigurationSnapshot,
                 ConfigurationPull, WorkAsk, WorkHandover>;

/// Under which kind the bytes of a message are counted.
Coordination::TrafficKind trafficKind(const PeerMessage &message);

} // namespace Node
