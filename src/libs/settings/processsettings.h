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

enum class LogLevel { Debug, Info, Warn, Error };

/// Another router that is asked for the fleet's state at a start.
struct SeedHost
{
    Base::HostId host;
    Address peerAddress;

    bool operator==(const SeedHost &) const = default;
};

/// Bounds on what one process holds. Past them callers get a refusal.
struct ProcessLimits
{
    /// Connections of callers at once.
    std::size_t connections = 2000;
    /// Largest body of a request, in bytes.
    std::size_t bodyBytes = 1U << 20;
    /// Of one answer that its caller has not read yet, in bytes.
    std::size_t streamBufferBytes = 256U << 10;

    bool operator==(const ProcessLimits &) const = default;
};

/// What one router process is started with: its place, its addresses, its limits.
///
/// Kept apart from the configuration (targets and customers), which lives in the platform's
/// table. Nothing here sets a weight or names a host for work.
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
    /// Where spans go, as JSON lines; empty for nowhere.
    std::string traceFile;

    bool operator==(const ProcessSettings &) const = default;

    /// Reads a settings file's \a text. Fails with SettingsFaults, which has every fault of the
    /// text. Any bytes are safe.
    static Base::Result<ProcessSettings> parse(std::string_view text);
};

} // namespace Settings
