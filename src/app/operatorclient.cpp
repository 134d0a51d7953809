#include "operatorclient.h"

#include <nlohmann/json.hpp>
#include <ulfius.h>

#include <memory>
#include <utility>

namespace App {

namespace {

constexpr unsigned long timeoutSeconds = 10;

struct RequestCleaner
{
    void operator()(_u_request *request) const
    {
        ulfius_clean_request(request);
        delete request;
    }
};

struct ResponseCleaner
{
    void operator()(_u_response *response) const
    {
        ulfius_clean_response(response);
        delete response;
    }
};

std::unique_ptr<_u_request, RequestCleaner> makeRequest()
{
    std::unique_ptr<_u_request, RequestCleaner> request(new _u_request);
    ulfius_init_request(request.get());
    return request;
}

std::unique_ptr<_u_response, ResponseCleaner> makeResponse()
{
    std::unique_ptr<_u_response, ResponseCleaner> response(new _u_response);
    ulfius_init_response(response.get());
    return response;
}

std::string targetBody(const SetTargetCommand &command)
{
    nlohmann::json body{{"startWithinMs", command.startWithin.count()}};
    if (command.claim)
        body["claim"] = *command.claim;
    return body.dump();
}

/// Percent-encodes all characters except those that may occur unescaped in a path (RFC 3986).
std::string pathSegment(const std::string &text)
{
    const std::unique_ptr<char, decltype(&u_free)> encoded(ulfius_url_encode(text.c_str()), u_free);
    return encoded ? encoded.get() : std::string();
}

} // namespace

/// One HTTP request; an empty body or ifMatch is not sent.
struct OperatorClient::Call
{
    const char *verb = "GET";
    std::string path;
    std::string body;
    std::string ifMatch;
};

OperatorClient::OperatorClient(std::string address)
    : m_address(std::move(address))
{}

Base::Result<OperatorAnswer> OperatorClient::targets() const
{
    return send({"GET", "/v1/targets", {}, {}});
}

Base::Result<OperatorAnswer> OperatorClient::setTarget(const SetTargetCommand &command) const
{
    return send({"PUT", "/v1/targets/" + pathSegment(command.workClass.value()),
                 targetBody(command), std::to_string(command.ifMatch)});
}

Base::Result<OperatorAnswer> OperatorClient::status() const
{
    return send({"GET", "/v1/status", {}, {}});
}

Base::Result<OperatorAnswer> OperatorClient::send(const Call &call) const
{
    const auto request = makeRequest();
    const std::string url = "http://" + m_address + call.path;
    ulfius_set_request_properties(request.get(), U_OPT_HTTP_VERB, call.verb, U_OPT_HTTP_URL,
                                  url.c_str(), U_OPT_TIMEOUT, timeoutSeconds, U_OPT_NONE);
    if (!call.ifMatch.empty())
        ulfius_set_request_properties(request.get(), U_OPT_HEADER_PARAMETER, "If-Match",
                                      call.ifMatch.c_str(), U_OPT_NONE);
    if (!call.body.empty())
        ulfius_set_request_properties(request.get(), U_OPT_HEADER_PARAMETER, "Content-Type",
                                      "application/json", U_OPT_STRING_BODY, call.body.c_str(),
                                      U_OPT_NONE);
    const auto response = makeResponse();
    if (ulfius_send_http_request(request.get(), response.get()) != U_OK)
        return boost::leaf::new_error(NoAnswer{m_address});
    OperatorAnswer answer;
    answer.status = static_cast<int>(response->status);
    answer.body.assign(static_cast<const char *>(response->binary_body),
                       response->binary_body_length);
    return answer;
}

} // namespace App
