#include "routing/work.h"

namespace Routing {

const char *nameOf(TurnedAwayReason reason)
{
    switch (reason) {
    case TurnedAwayReason::NoServer:
        return "no_server";
    case TurnedAwayReason::TooLate:
        return "too_late";
    case TurnedAwayReason::Crowded:
        return "crowded";
    case TurnedAwayReason::BeyondShare:
        return "beyond_share";
    }
    return "too_late";
}

} // namespace Routing
