#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/answersink.h"
#include "routing/routetable.h"
#include "routing/work.h"

#include <memory>
#include <string>

namespace Gateway {
/// A request that passed validation, with the data that validation determined.
struct AcceptedRequest
{
    Routing::WorkId id = 0;
    CallerRequest request;
    std::string requestId;
    /// The configuration that the request was accepted under. The request keeps it, so that a newer
    /// one does not change the handling of a request in progress.
    std::shared_ptr<const Routing::RouteTable> table;
    const Routing::Route *route = nullptr;
    std::string service;
    Base::CustomerId customer;
    Routing::Work work;
    /// The caller stops waiting at this time.
    Base::TimePoint deadline;
};

} // namespace Gateway
