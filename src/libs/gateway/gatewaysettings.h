#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "routing/entryselection.h"
#include "routing/retryshare.h"
#include "routing/rollout.h"
#include "settings/address.h"
#include "settings/settingsfault.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/// Settings of one gateway process: its identity, its addresses and its limits.
struct GatewaySettings
{
    Base::HostId host;
    Base::ZoneId zone;
    Base::RegionId region;
    /// The region of each availability zone of the deployment.
    std::map<Base::ZoneId, Base::RegionId> zoneRegions;
    Settings::Address callerAddress;
    Settings::Address readinessAddress;
    Settings::Address discoveryAddress;
    /// Address for other hosts: load reports over UDP, and copies of store data over HTTP.
    Settings::Address peerAddress;
    Settings::Address storeAddress;
    /// Address at which /metrics is served; empty to serve no metrics.
    std::optional<Settings::Address> metricsAddress;
    /// Processor capacity that this process may use, in thousandths of a core.
    Routing::MilliCores processor = 1000;
    /// Memory that this process may use, in bytes. A third of it is for callers' requests, and a
    /// third for answers.
    std::size_t memoryBytes = 256'000'000;
    /// File descriptors that this process may open; a quarter is kept for its own connections. 0 if
    /// only the limit of the operating system holds.
    std::size_t fileDescriptors = 0;
    /// IP addresses of other hosts that may be running. They are contacted at this host's own peer
    /// port; the ports in the settings are ignored.
    std::vector<std::string> seeds;
    /// How long callers may cache the list of entry hosts, that is, the hosts to connect to.
    std::chrono::seconds entryListMaxAge{2};
    /// Time from SIGTERM to the exit of the process.
    Base::Milliseconds shutdownGrace{8000};
    /// Time within which a revoked key stops being accepted.
    Base::Milliseconds keyRevocation{5000};
    /// Time within which a change of the configuration comes into force.
    Base::Milliseconds configurationBound{2000};
    /// Time after which a server that announces that it leaves gets no new requests any more.
    Base::Milliseconds leavingBound{2000};
    Routing::RetryAllowance retries;
    /// Empty if the operator orders no roll-outs.
    std::optional<Routing::RolloutBounds> rollouts;
    /// Limit of the bytes per second that all hosts of this region together report to hosts of
    /// other regions.
    std::size_t reportBytesBetweenRegions = 750'000;
    /// Limit of log lines about requests a second; failures have twice as many in addition. 0 turns
    /// these lines off.
    unsigned requestLinesPerSecond = 150;

    /// Path of the settings file; empty if the settings cannot change while the process runs.
    std::string file;

    /// Parses the \a text of a settings file, which may be arbitrary bytes. Fails with
    /// Settings::SettingsFaults, which lists every fault of the text.
    static Base::Result<GatewaySettings> parse(std::string_view text);
    /// Whether \a text holds settings of a gateway, and not of a router with its own platform.
    static bool isGatewayText(std::string_view text);
};

} // namespace Gateway
