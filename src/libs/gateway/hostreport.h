#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "routing/entryselection.h"
#include "routing/fleetload.h"
#include "routing/serverset.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/// Whose work a report's load is the sum of, and whose hosts its members are.
enum class ReportScope : std::uint8_t {
    Host,  ///< The sender's own.
    Zone,  ///< All hosts of the sender's availability zone.
    Fleet, ///< All hosts.
};

/// A host as callers may be told of it.
struct MemberState
{
    Base::HostId host;
    Base::ZoneId zone;
    std::string peerAddress;
    std::string callerAddress;
    bool isLeaving = false;
    /// Can serve requests now: knows a configuration that is proved current.
    bool isServing = false;
    /// It does not reach the store, or has just come back to it; another host should read for its
    /// zone.
    bool isStoreLost = false;
    /// What it may use of its processor, and what its forwarding takes of that.
    Routing::MilliCores capacity = 1000;
    Routing::MilliCores load = 0;

    bool operator==(const MemberState &) const = default;
};

/// What the sender knows of the store.
struct StoreState
{
    std::uint64_t configurationVersion = 0;
    /// Of the backend servers that it would use.
    std::uint64_t serversFingerprint = 0;
    /// Version of the store at its last own reading of the servers.
    std::uint64_t serversVersion = 0;
    /// What happened to servers of late, in order, so that the others need not read them all.
    std::vector<Routing::ServerChange> serverChanges;
    /// Set by a host that reads the store itself: how long ago, at the moment of sending, it asked
    /// the question whose answer proved both current.
    std::optional<Base::Milliseconds> proofAge;
    /// Set while the store does not answer the sender: for how long, at the moment of sending.
    std::optional<Base::Milliseconds> outageAge;

    bool operator==(const StoreState &) const = default;
};

/// What one gateway host tells others, several times a second. A newer report replaces an older
/// one whole, so that a lost one does no harm.
struct HostReport
{
    MemberState self;
    Base::Incarnation incarnation = 0;
    /// Grows with each report of one incarnation, from a random start.
    std::uint64_t sequence = 0;
    ReportScope scope = ReportScope::Host;
    StoreState store;
    /// The newest sequence heard from hosts that take their knowledge of the store from this one,
    /// and whose work is in the load.
    std::map<Base::HostId, std::uint64_t> echoes;
    /// Of a zone or the fleet: the hosts, the sender left out.
    std::vector<MemberState> members;
    Routing::HostLoad load;

    bool operator==(const HostReport &) const = default;
};

/// The bytes of a datagram are no report.
struct MalformedReport
{};

/// CBOR.
std::string encodeReport(const HostReport &report);
/// Takes any bytes; fails with MalformedReport.
Base::Result<HostReport> decodeReport(std::string_view bytes);

} // namespace Gateway
