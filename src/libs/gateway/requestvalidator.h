#pragma once

#include "gateway/exchange.h"
#include "gateway/failure.h"
#include "gateway/headernames.h"
#include "routing/routetable.h"

#include <memory>
#include <optional>

namespace Gateway {

/// What a host knows at the moment at which a request is looked at.
struct ValidationContext
{
    /// Null before the first configuration.
    std::shared_ptr<const Routing::RouteTable> table;
    bool areServersKnown = false;
    /// The configuration is known to be current.
    bool isLeaseHeld = false;
    /// This host's process ends before long work would: it should go elsewhere.
    bool isLeavingSoon = false;
};

/// Decides whether a request is in order, and describes it for the decisions that follow.
class RequestValidator
{
public:
    /// \a names outlives the examiner.
    explicit RequestValidator(const HeaderNames &names)
        : m_names(&names)
    {}

    /// Fills in \a accepted, of which the id and the message are given. Returns the failure that
    /// the request is answered with at once; empty if it was accepted.
    std::optional<Failure> validate(AcceptedRequest &accepted,
                                    const ValidationContext &known) const;

private:
    std::optional<Failure> identifyCustomer(AcceptedRequest &accepted,
                                            const ValidationContext &known) const;
    void describeWork(AcceptedRequest &accepted) const;

    const HeaderNames *m_names;
};

} // namespace Gateway
