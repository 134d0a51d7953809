#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "settings/address.h"
#include "settings/settingsfault.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/// Lowest severity that is logged.
enum class LogLevel { Debug, Info, Warn, Error };

/// Another router, from which a starting router learns the state of the fleet.
struct SeedHost
{
    Base::HostId host;
    Address peerAddress;

    bool operator==(const SeedHost &) const = default;
};

/// Resource limits of one process. Requests beyond a limit are refused.
struct ProcessLimits
{
    /// Concurrent connections of callers.
    std::size_t connections = 2000;
    /// Maximum size of a request body, in bytes.
    std::size_t bodyBytes = 1U << 20;
    /// Maximum size of the part of one answer that its caller has not read yet, in bytes.
    std::size_t streamBufferBytes = 256U << 10;
    /// Memory that the process may use, in bytes. A third of it is for callers' requests.
    std::size_t memoryBytes = 512'000'000;

    bool operator==(const ProcessLimits &) const = default;
};

/// The settings that one router process is started with: its location, addresses and limits.
///
/// They are separate from the configuration (targets and customers), which is stored in the
/// platform's table. No setting here assigns weights or hosts to work.
struct ProcessSettings
{
    Base::HostId host;
    Base::ZoneId zone;
    Base::RegionId region;
    Address callerAddress;
    Address peerAddress;
    Address platformAddress;
    std::vector<SeedHost> seeds;
    ProcessLimits limits;
    LogLevel logLevel = LogLevel::Info;
    /// File that spans are written to, as JSON lines; empty disables tracing.
    std::string traceFile;

    bool operator==(const ProcessSettings &) const = default;

    /// Parses the \a text of a settings file. Fails with SettingsFaults, which lists every fault of
    /// the text. \a text may contain any bytes.
    static Base::Result<ProcessSettings> parse(std::string_view text);
};

} // namespace Settings
