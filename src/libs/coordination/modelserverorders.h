#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace Coordination {

enum class OrderKind { LoadModel, ChangeRole };

/// What one model server shall have loaded or be.
struct ModelOrder
{
    OrderKind kind = OrderKind::LoadModel;
    std::string model;
    std::string role;

    bool operator==(const ModelOrder &) const = default;
};

enum class OrderStatus {
    Done,
    OldFence, ///< The server has seen a larger fence and did nothing.
    Limited,  ///< The weight store turned the server away; see retryAfter.
    Failed,   ///< Refused or no answer: it may have taken effect, and may be sent again.
};

struct OrderOutcome
{
    Base::ServerId server;
    std::uint64_t fence = 0;
    OrderStatus status = OrderStatus::Failed;
    Base::Milliseconds retryAfter{0};
};

/// Sends orders to model servers. Each send is followed by at most one OrderOutcome; the
/// sender closes the connection after OrderPolicy::orderTimeout.
class ModelServerOrders
{
public:
    virtual ~ModelServerOrders() = default;
    virtual void send(const Base::ServerId &server, const ModelOrder &order,
                      std::uint64_t fence) = 0;
};

} // namespace Coordination
