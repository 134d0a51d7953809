#include "daemon/httpresponse.h"

#include "daemon/failuretext.h"

#include <nlohmann/json.hpp>

namespace Daemon {

using Json = nlohmann::ordered_json;

namespace {

std::string textOf(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

void setHeader(_u_response &response, const char *name, const std::string &value)
{
    u_map_put(response.map_header, name, value.c_str());
}

void respondText(_u_response &response, int status, const std::string &contentType,
                 const std::string &body)
{
    // The library refuses an empty binary body, and would answer with its default status.
    if (body.empty())
        ulfius_set_empty_body_response(&response, static_cast<unsigned int>(status));
    else
        ulfius_set_binary_body_response(&response, static_cast<unsigned int>(status), body.data(),
                                        body.size());
    if (!contentType.empty())
        setHeader(response, "Content-Type", contentType);
}

void respondJson(_u_response &response, int status, const std::string &body)
{
    respondText(response, status, "application/json", body);
}

void respondFailure(_u_response &response, const Node::Failure &failure)
{
    respondFailure(response, statusOf(failure.type), typeName(failure.type), failure);
}

void respondFailure(_u_response &response, int status, const std::string &type,
                    const Node::Failure &failure)
{
    respondJson(response, status, failureBody(type, failure));
    setHeader(response, "X-Request-Id", failure.requestId);
    if (failure.retryAfter)
        setHeader(response, "Retry-After", retryAfterSeconds(*failure.retryAfter));
    if (failure.type == Node::FailureType::Unauthorized)
        setHeader(response, "WWW-Authenticate", "Bearer");
}

void respondEntryHosts(_u_response &response, const Node::EntryHostList &list)
{
    Json hosts = Json::array();
    for (const Node::EntryHost &host : list.hosts) {
        // The address for callers of a host that is known only from the seeds is not known yet.
        if (host.address.empty())
            continue;
        hosts.push_back({{"address", host.address}, {"zone", host.zone.value()}});
    }
    const auto maxAge = list.maxAge.count();
    respondJson(response, 200, textOf({{"hosts", hosts}, {"maxAgeSeconds", maxAge}}));
    setHeader(response, "Cache-Control", "max-age=" + std::to_string(maxAge));
}

void respondTargets(_u_response &response, const Node::TargetList &list)
{
    Json targets = Json::array();
    for (const Settings::VersionedTarget &it : list.targets) {
        Json target{{"class", it.target.name.value()},
                    {"startWithinMs", it.target.startWithin.count()}};
        if (it.target.claim)
            target["claim"] = *it.target.claim;
        target["version"] = it.version;
        targets.push_back(target);
    }
    respondJson(response, 200, textOf({{"version", list.version}, {"targets", targets}}));
    setHeader(response, "ETag", '"' + std::to_string(list.version) + '"');
}

void respondStatus(_u_response &response, const Node::NodeStatus &status)
{
    respondJson(response, 200,
                textOf({{"ready", status.isReady},
                        {"leaving", status.isLeaving},
                        {"configurationVersion", status.version},
                        {"liveRouters", status.liveRouters},
                        {"openRequests", status.openRequests},
                        {"waitingHere", status.waitingHere}}));
}

} // namespace Daemon
