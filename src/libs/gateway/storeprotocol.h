#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "routing/routingconfiguration.h"
#include "routing/serverset.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/// One HTTP call of the store, or of another host.
struct HttpCall
{
    std::string method = "GET";
    std::string target;
    std::string body;
};

/// Its answer, as HTTP has it.
struct HttpAnswer
{
    unsigned status = 0;
    std::string body;
};

/// The store answered, but did not do what was asked.
struct StoreRefused
{
    unsigned status = 0;
};

/// The changes asked for are no longer kept; everything has to be read anew.
struct StoreHistoryGone
{};

/// The store's answer cannot be read.
struct MalformedStoreAnswer
{
    std::string what;
};

/// What a reading of the configuration says.
struct ConfigurationReading
{
    /// Version of the store at the moment of the reading; it never goes back.
    std::uint64_t storeVersion = 0;
    /// Empty if there is no configuration, or if it has not changed.
    std::optional<Routing::RoutingConfiguration> configuration;
};

/// One page of the entries of backend servers.
struct ServerReading
{
    std::uint64_t storeVersion = 0;
    std::vector<Routing::RegisteredServer> servers;
    /// Keys of entries that cannot be read or say what no server says. They name no server to use.
    std::set<std::string> unreadable;
    /// Not empty if there are more: what to continue from.
    std::string continueFrom;
};

/// How a gateway host is found by the others.
struct HostRow
{
    Base::HostId host;
    Base::ZoneId zone;
    std::string peerAddress;

    bool operator==(const HostRow &) const = default;
};

struct HostReading
{
    /// Rows that were written not long ago.
    std::vector<HostRow> hosts;
    /// The store's own steady clock.
    Base::Milliseconds storeTime{0};
};

/// How the deployment's store is spoken to: makes calls and reads answers, decides nothing.
/// Every read function takes any bytes, and fails with StoreRefused, StoreHistoryGone or
/// MalformedStoreAnswer. Rows of servers and hosts may come from other writers: one that cannot be
/// read is left out, and the others hold.
class StoreProtocol
{
public:
    virtual ~StoreProtocol() = default;

    virtual HttpCall readConfiguration() const = 0;
    /// Waits for a change after \a version, for \a wait at most.
    virtual HttpCall watchConfiguration(std::uint64_t version, Base::Milliseconds wait) const = 0;
    virtual Base::Result<ConfigurationReading> configuration(const HttpAnswer &answer) const = 0;

    /// From the first entry, or from \a continueFrom of the page before.
    virtual HttpCall readServers(const std::string &continueFrom) const = 0;
    virtual Base::Result<ServerReading> servers(const HttpAnswer &answer) const = 0;

    virtual HttpCall readHosts() const = 0;
    /// Rows older than \a freshFor by the store's clock are left out.
    virtual Base::Result<HostReading> hosts(const HttpAnswer &answer,
                                            Base::Milliseconds freshFor) const = 0;
    /// Of at most a hundred rows.
    virtual HttpCall writeHosts(const std::vector<HostRow> &rows,
                                Base::Milliseconds storeTime) const = 0;
    virtual HttpCall removeHost(const Base::HostId &host) const = 0;
};

} // namespace Gateway
