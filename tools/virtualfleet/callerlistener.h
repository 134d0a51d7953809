#pragma once

#include "node/callersink.h"

namespace VirtualFleet {

/// Receives what the fleet tells the callers of its requests: start, parts and end of an answer, or
/// a failure.
class CallerListener
{
public:
    virtual ~CallerListener() = default;
    virtual void started(Node::CallerId caller) = 0;
    virtual void part(Node::CallerId caller, const std::string &payload) = 0;
    virtual void finished(Node::CallerId caller) = 0;
    virtual void failed(Node::CallerId caller, const Node::Failure &failure) = 0;
};

} // namespace VirtualFleet
