#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "routing/fleetload.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Gateway {

/// What one gateway host tells the others, several times a second. A newer report replaces an
/// older one whole, so that a lost one does no harm.
struct HostReport
{
    Base::HostId host;
    Base::Incarnation incarnation = 0;
    /// Grows with each report of one incarnation.
    std::uint64_t sequence = 0;
    std::string peerAddress;
    std::string callerAddress;
    bool isLeaving = false;
    /// Can serve requests now: knows a configuration that is proved current.
    bool isServing = false;
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
