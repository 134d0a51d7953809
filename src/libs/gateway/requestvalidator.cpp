#include "gateway/requestvalidator.h"

#include "base/hash.h"
#include "gateway/promptfields.h"

#include <algorithm>
#include <string>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

/// Deadline of requests whose caller sets none.
constexpr milliseconds defaultDeadline{30000};
/// Upper bound for a caller's deadline, about 12 days. Nobody waits longer, and the bound keeps
/// sums of times small.
constexpr std::uint64_t maxDeadlineMs = 1U << 30;
constexpr milliseconds notReadyRetryAfter{400};

std::string bearerToken(const Request &message)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = field(message, "Authorization");
    return value.starts_with(scheme) ? std::string(value.substr(scheme.size())) : std::string();
}

} // namespace

std::optional<Failure> RequestValidator::validate(AcceptedRequest &accepted,
                                                  const ValidationContext &context) const
{
    if (isAmbiguous(accepted.request.message))
        return Failure{FailureType::BadRequest, false, std::nullopt};
    // A process that has just started knows no routes yet, and must not answer 404 or 401.
    if (!context.table || !context.areServersKnown)
        return Failure{FailureType::NotReady, false, notReadyRetryAfter};
    const Request &message = accepted.request.message;
    accepted.table = context.table;
    accepted.route = context.table->find(field(message, "Host"),
                                         {message.target().data(), message.target().size()});
    if (!accepted.route) {
        // Without a lease the configuration may be stale, and the route may exist in a newer one.
        if (!context.isLeaseHeld)
            return Failure{FailureType::NotReady, false, notReadyRetryAfter};
        return Failure{FailureType::NoRoute, false, std::nullopt};
    }
    if (std::optional<Failure> failure = identifyCustomer(accepted, context))
        return failure;
    // A stream that its caller takes up stays with the service that began it.
    const std::string_view resumed = field(message, m_names->resumedRequestId);
    accepted.service = Routing::RouteTable::chooseService(
        *accepted.route,
        Base::stableHash(resumed.empty() ? std::string_view(accepted.requestId) : resumed));
    describeWork(accepted);
    return std::nullopt;
}

bool RequestValidator::isAmbiguous(const Request &message) const
{
    return countOf(message, "Authorization") > 1 || countOf(message, m_names->requestId) > 1
           || countOf(message, m_names->resumedRequestId) > 1
           || countOf(message, m_names->lastEventId) > 1;
}

std::optional<Failure> RequestValidator::identifyCustomer(AcceptedRequest &accepted,
                                                          const ValidationContext &context) const
{
    if (!context.table->needsKey(*accepted.route))
        return std::nullopt;
    // The key may have been revoked since the configuration was last confirmed to be current.
    if (!context.isLeaseHeld)
        return Failure{FailureType::NotReady, false, notReadyRetryAfter};
    const Routing::RoutedCustomer *customer =
        context.table->customerByKey(bearerToken(accepted.request.message));
    if (!customer)
        return Failure{FailureType::UnknownKey, false, std::nullopt};
    accepted.customer = customer->id;
    return std::nullopt;
}

void RequestValidator::describeWork(AcceptedRequest &accepted) const
{
    const Request &message = accepted.request.message;
    const Base::TimePoint readAt = accepted.request.readAt;
    const auto deadline = parseNumber(field(message, m_names->timeLeft));
    accepted.deadline =
        readAt + (deadline ? milliseconds(std::min(*deadline, maxDeadlineMs)) : defaultDeadline);
    Routing::Work &work = accepted.work;
    work.id = accepted.id;
    work.customer = accepted.customer;
    work.residency = accepted.table->residency(*accepted.route, accepted.customer);
    work.priority = accepted.route->priority;
    work.arrivedAt = readAt;
    work.startBy = readAt + accepted.route->startTarget;
    work.deadline = std::min(accepted.deadline, readAt + accepted.route->timeout);
    const TokenCounts counts = parseTokenCounts(field(message, m_names->tokenCounts));
    work.promptTokens = counts.prompt;
    work.outputTokens = counts.output;
    work.parts = parsePromptParts(field(message, m_names->promptParts));
}

} // namespace Gateway
