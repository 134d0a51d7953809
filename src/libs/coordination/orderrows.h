#pragma once

#include "base/ids.h"
#include "coordination/modelserverorders.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Coordination {

inline const std::string desiredPrefix = "orders/desired/";
inline const std::string orderLeasePrefix = "orders/lease/";

/// Row "orders/desired/SERVER": what an operator or the placement wants.
struct DesiredRow
{
    /// Grows with each change.
    std::uint64_t number = 0;
    ModelOrder order;

    bool operator==(const DesiredRow &) const = default;
};

/// Row "orders/lease/SERVER": which router may order, and under which fence.
struct OrderLeaseRow
{
    /// A start of a router.
    std::string holder;
    /// Grows with each holder and with each number: an order is never sent under a fence that
    /// another order was sent under.
    std::uint64_t fence = 0;
    /// Number of the desired row that the fence is for.
    std::uint64_t number = 0;
    /// Makes each renewal another text, so that a lost one can be told from the one before.
    std::uint64_t renewal = 0;
    /// The server has carried the order out; nobody needs the lease.
    bool isDone = false;

    bool operator==(const OrderLeaseRow &) const = default;
};

std::string encodeDesired(const DesiredRow &row);
/// Empty if the text is none of ours; any bytes are safe.
std::optional<DesiredRow> decodeDesired(const std::string &text);
std::string encodeOrderLease(const OrderLeaseRow &row);
std::optional<OrderLeaseRow> decodeOrderLease(const std::string &text);

} // namespace Coordination
