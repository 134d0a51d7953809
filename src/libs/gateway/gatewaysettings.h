#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "routing/entryselection.h"
#include "routing/retryshare.h"
#include "settings/address.h"
#include "settings/settingsfault.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/// What one gateway process is started with: its place, its addresses, the bounds it keeps.
struct GatewaySettings
{
    Base::HostId host;
    Base::ZoneId zone;
    Base::RegionId region;
    Settings::Address callerAddress;
    Settings::Address readinessAddress;
    Settings::Address discoveryAddress;
    /// UDP, for load reports between hosts.
    Settings::Address peerAddress;
    Settings::Address storeAddress;
    /// Where metrics are served, at /metrics; none if empty.
    std::optional<Settings::Address> metricsAddress;
    /// What this process may use of the host's processor.
    Routing::MilliCores processor = 1000;
    /// Hosts that may run as well; only their IP numbers count.
    std::vector<std::string> seeds;
    /// How long callers may keep an entry list.
    std::chrono::seconds entryListMaxAge{2};
    /// From SIGTERM to the end of the process.
    Base::Milliseconds shutdownGrace{8000};
    /// A key that was taken away is not used later than this.
    Base::Milliseconds keyRevocation{5000};
    /// A change of the configuration is in force within this time.
    Base::Milliseconds configurationBound{2000};
    /// A server that says that it leaves gets nothing new later than this.
    Base::Milliseconds leavingBound{2000};
    Routing::RetryAllowance retries;
    /// Lines of requests in the log, a second; failures have twice as many besides. 0 for none.
    unsigned requestLinesPerSecond = 150;

    /// Where these settings stand; empty if they may not change while the process runs.
    std::string file;

    /// Reads a settings file's \a text. Fails with Settings::SettingsFaults, which has every fault
    /// of the text. Any bytes are safe.
    static Base::Result<GatewaySettings> parse(std::string_view text);
    /// Whether \a text is meant for a gateway, and not for a router with a platform of its own.
    static bool isGatewayText(std::string_view text);
};

} // namespace Gateway
