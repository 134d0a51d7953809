#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace Coordination {

enum class OrderKind { LoadModel, ChangeRole };

/// The model that a model server shall load, or the role that it shall take.
struct ModelOrder
{
    OrderKind kind = OrderKind::LoadModel;
    std::string model;
    std::string role;

    bool operator==(const ModelOrder &) const = default;
};

enum class OrderStatus {
    Done,
    OldFence, ///< The server has seen a larger fence and ignored the order.
    Limited,  ///< The weight store refused the server; see OrderOutcome::retryAfter.
    Failed,   ///< Refused or not answered. The order may have taken effect and may be repeated.
};

struct OrderOutcome
{
    Base::ServerId server;
    /// Fence of the order that this is the outcome of.
    std::uint64_t fence = 0;
    OrderStatus status = OrderStatus::Failed;
    /// If Limited, the time before the next load.
    Base::Milliseconds retryAfter{0};
};

/// Sends orders to model servers. Each send is followed by at most one OrderOutcome. An
/// implementation closes the connection after OrderPolicy::orderTimeout.
///
/// A fence is a fencing number that grows with each new holder of the right to order. It lets a
/// server refuse orders of an earlier holder.
class OrderSender
{
public:
    virtual ~OrderSender() = default;
    virtual void send(const Base::ServerId &server, const ModelOrder &order,
                      std::uint64_t fence) = 0;
};

} // namespace Coordination
