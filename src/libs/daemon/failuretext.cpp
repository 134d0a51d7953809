#include "daemon/failuretext.h"

#include <nlohmann/json.hpp>

namespace Daemon {

namespace {

using Json = nlohmann::ordered_json;
using Node::FailureType;

struct TypeText
{
    const char *name;
    int status;
};

TypeText textOf(FailureType type)
{
    switch (type) {
    case FailureType::BadRequest:
        return {"bad_request", 400};
    case FailureType::Unauthorized:
        return {"unauthorized", 401};
    case FailureType::UnknownClass:
        return {"unknown_class", 400};
    case FailureType::UnknownPool:
        return {"unknown_pool", 404};
    case FailureType::NotReady:
        return {"not_ready", 503};
    case FailureType::Overloaded:
        return {"overloaded", 429};
    case FailureType::DeadlineUnmet:
        return {"deadline_unmet", 504};
    case FailureType::NoCapacity:
        return {"no_capacity", 503};
    case FailureType::KeyConflict:
        return {"key_conflict", 422};
    case FailureType::KeyInProgress:
        return {"key_in_progress", 409};
    case FailureType::ClaimUnavailable:
        return {"claim_unavailable", 503};
    case FailureType::BackendFailed:
        return {"backend_failed", 502};
    case FailureType::ShuttingDown:
        return {"shutting_down", 503};
    case FailureType::LostRace:
        return {"lost_race", 412};
    case FailureType::PlatformDown:
        return {"platform_down", 503};
    }
    return {"backend_failed", 502};
}

} // namespace

const char *typeName(FailureType type)
{
    return textOf(type).name;
}

int statusOf(FailureType type)
{
    return textOf(type).status;
}

std::string failureBody(const Node::Failure &failure)
{
    return failureBody(typeName(failure.type), failure);
}

std::string failureBody(const std::string &type, const Node::Failure &failure)
{
    Json error{{"type", type},
               {"message", failure.message},
               {"ran", failure.ran == Node::Ran::No ? "no" : "unknown"}};
    if (failure.retryAfter)
        error["retryAfterMs"] = failure.retryAfter->count();
    if (failure.currentVersion)
        error["currentVersion"] = *failure.currentVersion;
    const Json json{{"error", error}, {"requestId", failure.requestId}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string retryAfterSeconds(Base::Milliseconds retryAfter)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(retryAfter).count());
}

} // namespace Daemon
