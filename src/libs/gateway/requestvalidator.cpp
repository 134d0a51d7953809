#include "gateway/requestvalidator.h"

#include "base/hash.h"
#include "gateway/promptfields.h"

#include <algorithm>
#include <string>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

/// Callers may wait this long when they do not say.
constexpr milliseconds defaultDeadline{30000};
/// Longer than this nobody waits; the bound keeps sums of times small.
constexpr std::uint64_t longestDeadlineMs = 1U << 30;
constexpr milliseconds notReadyRetryAfter{400};
constexpr milliseconds leavingRetryAfter{50};

std::string keyOf(const Request &message)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view value = field(message, "Authorization");
    return value.starts_with(scheme) ? std::string(value.substr(scheme.size())) : std::string();
}

} // namespace

std::optional<Failure> RequestValidator::validate(AcceptedRequest &accepted,
                                                  const ValidationContext &known) const
{
    // A process that has just started must not deny what it does not know of.
    if (!known.table || !known.areServersKnown)
        return Failure{FailureType::NotReady, false, notReadyRetryAfter};
    const Request &message = accepted.request.message;
    accepted.table = known.table;
    accepted.route = known.table->find(field(message, "Host"),
                                       {message.target().data(), message.target().size()});
    if (!accepted.route) {
        // Out of touch with the store, the route may have been added meanwhile.
        if (!known.isLeaseHeld)
            return Failure{FailureType::NotReady, false, notReadyRetryAfter};
        return Failure{FailureType::NoRoute, false, std::nullopt};
    }
    if (std::optional<Failure> failure = identifyCustomer(accepted, known))
        return failure;
    if (known.isLeavingSoon && accepted.route->isStream())
        return Failure{FailureType::ShuttingDown, false, leavingRetryAfter};
    accepted.service =
        Routing::RouteTable::chooseService(*accepted.route, Base::stableHash(accepted.requestId));
    describeWork(accepted);
    return std::nullopt;
}

std::optional<Failure> RequestValidator::identifyCustomer(AcceptedRequest &accepted,
                                                          const ValidationContext &known) const
{
    if (!known.table->needsKey(*accepted.route))
        return std::nullopt;
    // A key may have been taken away since the configuration was last known to be current.
    if (!known.isLeaseHeld)
        return Failure{FailureType::NotReady, false, notReadyRetryAfter};
    const Routing::RoutedCustomer *customer =
        known.table->customerByKey(keyOf(accepted.request.message));
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
        readAt
        + (deadline ? milliseconds(std::min(*deadline, longestDeadlineMs)) : defaultDeadline);
    Routing::Work &work = accepted.work;
    work.id = accepted.id;
    work.customer = accepted.customer;
    work.priority = accepted.route->priority;
    work.arrivedAt = readAt;
    work.startBy = readAt + accepted.route->startTarget;
    work.giveUpAt = std::min(accepted.deadline, readAt + accepted.route->timeout);
    const TokenCounts counts = parseTokenCounts(field(message, m_names->tokenCounts));
    work.promptTokens = counts.prompt;
    work.outputTokens = counts.output;
    work.parts = parsePromptParts(field(message, m_names->promptParts));
}

} // namespace Gateway
