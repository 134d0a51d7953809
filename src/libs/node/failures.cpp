#include "node/failures.h"

#include <utility>

namespace Node {

Failure makeFailure(FailureType type, std::string message)
{
    Failure failure;
    failure.type = type;
    failure.message = std::move(message);
    return failure;
}

Failure makeFailure(const PermitRefusal &refusal)
{
    using Scheduling::RefusalReason;
    const auto with = [&](FailureType type, const char *message) {
        Failure failure = makeFailure(type, message);
        failure.retryAfter = refusal.retryAfter;
        return failure;
    };
    switch (refusal.reason) {
    case RefusalReason::CustomerQueueFull:
        return with(FailureType::Overloaded, "too many requests of this customer are waiting");
    case RefusalReason::PoolQueueFull:
        return with(FailureType::Overloaded, "too many requests are waiting");
    case RefusalReason::DeadlineUnmeetable:
        return with(FailureType::DeadlineUnmet, "the expected wait passes the deadline");
    case RefusalReason::DeadlinePassed:
        return with(FailureType::DeadlineUnmet, "the deadline passed while the request waited");
    case RefusalReason::TargetUnmeetable:
        return with(FailureType::Overloaded,
                    "the expected wait passes the class's start target by far");
    case RefusalReason::NoServer:
        break;
    }
    return with(FailureType::NoCapacity, "no backend server is usable");
}

} // namespace Node
