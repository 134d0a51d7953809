#pragma once

#include "node/event.h"

#include <cstddef>

namespace Measure {

/// A fleet as callers see it: the product's, or a baseline.
class Submitter
{
public:
    virtual ~Submitter() = default;
    virtual void submit(std::size_t router, const Node::CallerRequest &request) = 0;
};

} // namespace Measure
