#pragma once

#include "base/ids.h"
#include "coordination/modelserverorders.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Coordination {

inline const std::string desiredPrefix = "orders/desired/";
inline const std::string orderLeasePrefix = "orders/lease/";

/// Content of the row "orders/desired/SERVER": the state that an operator or the placement wants.
struct DesiredRow
{
    /// Number of the order, which grows with each change.
    std::uint64_t number = 0;
    ModelOrder order;

    bool operator==(const DesiredRow &) const = default;
};

/// Content of the row "orders/lease/SERVER": the router that may send orders to the server, and
/// the fence that it must use.
struct OrderLeaseRow
{
    /// Name of the router's start that holds the lease.
    std::string holder;
    /// Fencing number. It grows with each holder and with each order number, so that no two orders
    /// are sent with the same fence.
    std::uint64_t fence = 0;
    /// Number of the order (DesiredRow::number) that the fence belongs to.
    std::uint64_t number = 0;
    /// Counts the renewals, so that the row of a renewal whose answer was lost differs from the
    /// row before it.
    std::uint64_t renewal = 0;
    /// Whether the server has carried the order out. The lease is then free.
    bool isDone = false;

    bool operator==(const OrderLeaseRow &) const = default;
};

/// Returns the row as JSON.
std::string encodeDesired(const DesiredRow &row);
/// Returns the decoded row, or nullopt if \a text is not a valid one. Any input is safe.
std::optional<DesiredRow> decodeDesired(const std::string &text);
/// Returns the row as JSON.
std::string encodeOrderLease(const OrderLeaseRow &row);
/// Returns the decoded row, or nullopt if \a text is not a valid one. Any input is safe.
std::optional<OrderLeaseRow> decodeOrderLease(const std::string &text);

} // namespace Coordination
