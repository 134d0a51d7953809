#pragma once

#include "node/event.h"

#include <cstddef>

namespace Measure {

/// The routers as callers see them: a fleet of lagoonmast's nodes, or a baseline.
class Submitter
{
public:
    virtual ~Submitter() = default;
    /// Sends \a request to the router with the index \a router.
    virtual void submit(std::size_t router, const Node::CallerRequest &request) = 0;
};

} // namespace Measure
