#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "routing/answersamples.h"
#include "routing/crashhistory.h"
#include "routing/crashingparts.h"
#include "routing/entryselection.h"
#include "routing/fleetload.h"
#include "routing/rollout.h"
#include "routing/serverset.h"
#include "routing/streamorigins.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/// The hosts that a report covers, by its load and its members.
enum class ReportScope : std::uint8_t {
    Host,   ///< Only the sender.
    Zone,   ///< All hosts of the sender's availability zone.
    Fleet,  ///< All hosts.
    Digest, ///< All hosts, but without any load, for hosts that forward nothing.
};

/// Returns whether reports of this scope cover all hosts.
constexpr bool coversFleet(ReportScope scope)
{
    return scope == ReportScope::Fleet || scope == ReportScope::Digest;
}

/// The state of a gateway host as other hosts and the entry list need it.
struct MemberState
{
    Base::HostId host;
    Base::ZoneId zone;
    std::string peerAddress;
    std::string callerAddress;
    bool isLeaving = false;
    /// Whether the host can serve requests now: it knows a configuration that is proved current.
    bool isServing = false;
    /// Whether the host does not reach the store, or has just come back to it. Another host should
    /// then read the store for its zone.
    bool isStoreLost = false;
    /// The part of its processor that the host may use, and the part of it that its forwarding
    /// takes.
    Routing::MilliCores capacity = 1000;
    Routing::MilliCores load = 0;

    bool operator==(const MemberState &) const = default;
};

/// The sender's state of the store's data.
struct StoreState
{
    std::uint64_t configurationVersion = 0;
    /// Fingerprint of the backend servers that the sender would use.
    std::uint64_t serversFingerprint = 0;
    /// Version of the store at the sender's own last reading of the servers.
    std::uint64_t serversVersion = 0;
    /// The latest changes of servers in order, so that other hosts need not read all servers.
    std::vector<Routing::ServerChange> serverChanges;
    /// Set by a host that reads the store itself: the age, when the report was sent, of the store
    /// call whose answer proved both the configuration and the servers current.
    std::optional<Base::Milliseconds> proofAge;
    /// Set while the store does not answer the sender: the duration of the outage when the report
    /// was sent.
    std::optional<Base::Milliseconds> outageAge;
    /// The zones that the operator has evacuated, and the version of the store at which they were
    /// read; 0 if the sender does not know them.
    std::vector<Base::ZoneId> evacuatedZones;
    std::uint64_t evacuationVersion = 0;
    /// The roll-outs that the operator has ordered, and the version of the store at which they were
    /// read; 0 if the sender does not know them.
    std::vector<Routing::RolloutOrder> rollouts;
    std::uint64_t rolloutsVersion = 0;
    /// Version of the store up to which the sender knows what the operator has set.
    std::uint64_t operatorVersion = 0;
    /// The software versions that have served lately, in a copy of the servers; empty if the sender
    /// does not know all of them.
    std::optional<std::vector<Routing::VersionAge>> versions = std::nullopt;

    bool operator==(const StoreState &) const = default;
};

/// The state of a roll-out in a report.
struct RolloutReport
{
    Routing::RolloutState state;
    /// Age, when the report was sent, of the deciding host's last proof that it may decide; empty
    /// if the sender never heard of one.
    std::optional<Base::Milliseconds> confirmedAge;

    bool operator==(const RolloutReport &) const = default;
};

/// A report of one gateway host to others, sent several times a second. A newer report replaces an
/// older one as a whole, so that a lost report does no harm.
struct HostReport
{
    MemberState self;
    Base::Incarnation incarnation = 0;
    /// Grows with each report of one incarnation, from a random start.
    std::uint64_t sequence = 0;
    ReportScope scope = ReportScope::Host;
    StoreState store;
    /// The newest sequence received from each host that takes its data of the store from this one
    /// and whose work is part of the load.
    std::map<Base::HostId, std::uint64_t> echoes;
    /// The hosts of the zone or of the fleet, without the sender; empty in a report on one host. A
    /// report on a very large fleet names the essential ones only.
    std::vector<MemberState> members;
    /// Numbers of the hosts of the fleet that are alive and that may be running, including the
    /// sender; 0 if the members are all hosts that the sender knows.
    std::uint32_t liveHosts = 0;
    std::uint32_t possibleHosts = 0;
    Routing::HostLoad load;
    /// The latest ends of servers and the requests that ran there, as far as the sender knows them.
    std::vector<Routing::CrashReport> crashes;
    /// What the sender knows of parts of prompts under which servers end.
    std::vector<Routing::PartReport> parts;
    /// The latest streams and the software versions that began them.
    std::vector<Routing::StreamReport> streams;
    /// The roll-outs that the sender knows, and what the hosts that the report covers saw of those
    /// that are not over.
    std::vector<RolloutReport> rollouts;
    std::vector<Routing::RolloutEvidence> rolloutEvidence;

    bool operator==(const HostReport &) const = default;
};

/// Error: the bytes are not a valid report.
struct MalformedReport
{};

/// Encodes a report as CBOR.
std::string encodeReport(const HostReport &report);
/// Decodes a report from any bytes. Fails with MalformedReport.
Base::Result<HostReport> decodeReport(std::string_view bytes);

} // namespace Gateway
