#pragma once

#include "gateway/exchange.h"
#include "gateway/failure.h"
#include "gateway/headernames.h"
#include "routing/routetable.h"

#include <memory>
#include <optional>

namespace Gateway {

/// State of this host against which a request is validated.
struct ValidationContext
{
    /// Null before the first configuration.
    std::shared_ptr<const Routing::RouteTable> table;
    bool areServersKnown = false;
    /// Whether the lease on the configuration is held, that is, whether the configuration was
    /// confirmed to be current recently enough.
    bool isLeaseHeld = false;
};

/// Validates a request against the configuration and fills in its route, customer, service and
/// the description of its work that scheduling and placement need.
class RequestValidator
{
public:
    /// \a names must outlive this object.
    explicit RequestValidator(const HeaderNames &names)
        : m_names(&names)
    {}

    /// Completes \a accepted, in which the caller has set the id and the request. Returns the
    /// failure to answer at once; empty if the request was accepted.
    std::optional<Failure> validate(AcceptedRequest &accepted,
                                    const ValidationContext &context) const;

private:
    /// Whether a field that identifies the customer or the request is given more than once.
    bool isAmbiguous(const Request &message) const;
    std::optional<Failure> identifyCustomer(AcceptedRequest &accepted,
                                            const ValidationContext &context) const;
    void describeWork(AcceptedRequest &accepted) const;

    const HeaderNames *m_names;
};

} // namespace Gateway
