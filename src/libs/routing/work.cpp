#include "routing/work.h"

namespace Routing {

namespace {

/// Generating a token costs an engine about as much as reading two tokens.
constexpr double generatedTokenWeight = 2;
/// The expected ratio of generated to allowed tokens: callers allow about four times as many tokens
/// as are generated.
constexpr double expectedGeneratedShare = 0.25;

} // namespace

bool isBound(const Work &work)
{
    return work.softwareVersion || work.onlyServers || !work.barredVersions.empty()
           || work.residency.isRestricted();
}

double tokensOf(const Work &work)
{
    return 1 + work.promptTokens
           + generatedTokenWeight * expectedGeneratedShare * work.outputTokens;
}

const char *nameOf(RejectionReason reason)
{
    switch (reason) {
    case RejectionReason::NoServer:
        return "no_server";
    case RejectionReason::NoRegion:
        return "no_region";
    case RejectionReason::NoVersion:
        return "no_version";
    case RejectionReason::BackedOff:
        return "backed_off";
    case RejectionReason::TooLate:
        return "too_late";
    case RejectionReason::QueueFull:
        return "crowded";
    case RejectionReason::BeyondShare:
        return "beyond_share";
    }
    return "too_late";
}

const char *nameOf(ShareLimit limit)
{
    switch (limit) {
    case ShareLimit::None:
        return "none";
    case ShareLimit::Rate:
        return "rate";
    case ShareLimit::AheadOfOthers:
        return "ahead_of_others";
    case ShareLimit::SpareCapacity:
        return "spare_capacity";
    }
    return "none";
}

const char *nameOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Served:
        return "served";
    case AttemptOutcome::ServerError:
        return "server_error";
    case AttemptOutcome::NoRoom:
        return "no_room";
    case AttemptOutcome::WrongServer:
        return "wrong_server";
    case AttemptOutcome::Unreachable:
        return "unreachable";
    case AttemptOutcome::Broken:
        return "broken";
    case AttemptOutcome::Silent:
        return "silent";
    case AttemptOutcome::Withdrawn:
        return "withdrawn";
    }
    return "broken";
}

} // namespace Routing
