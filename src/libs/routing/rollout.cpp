#include "routing/rollout.h"

namespace Routing {

const char *nameOf(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Testing:
        return "testing";
    case RolloutPhase::Moving:
        return "moving";
    case RolloutPhase::Completed:
        return "completed";
    case RolloutPhase::RolledBack:
        return "rolled_back";
    }
    return "rolled_back";
}

} // namespace Routing
