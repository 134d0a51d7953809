#pragma once

#include "base/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Daemon {

/// A router that is known from the settings, so that the process can start while the platform does
/// not answer.
struct SeedRouter
{
    Base::HostId host;
    /// "IP:PORT".
    std::string peerAddress;
};

/// Limits on the load that callers may put on one process.
struct DaemonLimits
{
    /// Callers that may be connected at the same time; further ones are refused with an answer.
    std::size_t connections = 2000;
    /// Largest request body in bytes.
    std::size_t bodyBytes = 1048576;
    /// Bytes of one answer that may be buffered for a slow caller before its stream is paused.
    std::size_t streamBufferBytes = 262144;
    /// Memory that the process may use, in bytes.
    std::size_t memoryBytes = 512'000'000;
};

/// The settings that one router process is started with. All addresses are "IP:PORT".
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
    /// File that spans are written to; if it is empty, none are written.
    std::string traceFile;
};

} // namespace Daemon
