#pragma once

#include "base/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Daemon {

/// A router known from the settings, for a start while the platform does not answer.
struct SeedRouter
{
    Base::HostId host;
    /// "IP:PORT".
    std::string peerAddress;
};

struct DaemonLimits
{
    /// Callers connected at the same time; the next one is refused with an answer.
    std::size_t connections = 2000;
    /// Largest request body in bytes.
    std::size_t bodyBytes = 1048576;
    /// Bytes of one answer that may wait for a slow caller before its stream is held back.
    std::size_t streamBufferBytes = 262144;
};

/// What one router process is started with, as its settings file says. All addresses are
/// "IP:PORT".
struct DaemonSettings
{
    Base::HostId host;
    Base::ZoneId zone;
    Base::RegionId region;
    std::string callerAddress;
    std::string peerAddress;
    std::string platformAddress;
    std::vector<SeedRouter> seeds;
    DaemonLimits limits;
    /// "error", "warn", "info" or "debug".
    std::string logLevel = "info";
    /// File that spans are written to; empty writes none.
    std::string traceFile;
};

} // namespace Daemon
