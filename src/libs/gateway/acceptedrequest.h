#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "gateway/answersink.h"
#include "routing/routetable.h"
#include "routing/work.h"

#include <memory>
#include <string>

namespace Gateway {

/// A request has two attempts at most at the same time, so each request has two work ids: an even
/// one, which is that of the request, and the odd one after it.
constexpr Routing::WorkId otherWorkId(Routing::WorkId id)
{
    return id ^ 1U;
}

/// Returns the id of the request that \a work belongs to.
constexpr Routing::WorkId requestOfWork(Routing::WorkId work)
{
    return work & ~Routing::WorkId(1);
}

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
