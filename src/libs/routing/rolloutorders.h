#pragma once

#include "routing/rollout.h"
#include "routing/serverset.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Routing {

/// The operator's last word on the roll-out of one service.
struct RolloutOrderChange
{
    std::string service;
    /// Empty if the order was withdrawn.
    std::optional<RolloutOrder> order;

    bool operator==(const RolloutOrderChange &) const = default;
};

/// The roll-outs that the operator has ordered, as of a version of the store. Of two states the one
/// with the higher version is the newer one, whichever host read it.
class RolloutOrders
{
public:
    std::uint64_t version() const { return m_version; }
    std::vector<RolloutOrder> orders() const;

    /// Takes the complete state as of \a version, unless a newer one is known. Returns whether the
    /// orders have changed.
    bool replace(const std::vector<RolloutOrder> &orders, std::uint64_t version);
    /// Takes all changes up to \a version since a state that is not newer than the known one.
    /// Returns whether the orders have changed.
    bool apply(const std::vector<RolloutOrderChange> &changes, std::uint64_t version);

private:
    std::uint64_t m_version = 0;
    std::map<std::string, RolloutOrder> m_orders;
};

/// Holds back servers of a software version that has just appeared, until it is known whether the
/// operator has ordered a roll-out to it.
///
/// The list of servers and the operator's orders are read by different calls, so a host may learn
/// of the servers first. Requests that it sent them would count as exposure to a version that may
/// be bad.
class NewVersions
{
public:
    /// Takes the number of servers of each version of each service, as listed at \a storeVersion.
    void serversListed(const ServerVersions &servers, std::uint64_t storeVersion);
    /// Notes that all orders up to \a storeVersion are known.
    void ordersKnown(std::uint64_t storeVersion);
    /// Returns the versions of \a service that must not get requests yet.
    std::set<std::string> held(const std::string &service) const;

private:
    std::uint64_t m_ordersVersion = 0;
    std::map<std::string, std::set<std::string>> m_seen;
    /// The versions that are held back, with the version of the store at which they were listed.
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_held;
};

} // namespace Routing
