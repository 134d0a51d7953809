#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "node/callerport.h"

#include <string>

namespace Node {

/// The steps of a request's way through the fleet; each is one span of its trace.
enum class Hop { Entry, Claim, Queue, Backend };

struct HopRecord
{
    Base::RequestKey request;
    /// W3C traceparent that the caller sent; empty if none.
    std::string traceparent;
    Hop hop = Hop::Entry;
    Base::TimePoint begin;
    Base::TimePoint end;
    /// Home router of a queue hop, server of a backend hop.
    std::string place;
    bool isFailed = false;
};

struct RequestRecord
{
    Base::RequestKey request;
    Base::CustomerId customer;
    Base::ClassId workClass;
    bool isFailed = false;
    FailureType failure = FailureType::BadRequest;
    Base::Duration queueWait{0};
    /// From arrival to the first part; zero if there was none.
    Base::Duration firstPart{0};
    Base::Duration whole{0};
    Base::ServiceUnits units = 0;
    std::uint32_t attempts = 0;
};

/// Told what the node did, for logs, metrics and traces. Must not call back into the node.
class NodeObserver
{
public:
    virtual ~NodeObserver() = default;
    virtual void hopFinished(const HopRecord &record) = 0;
    virtual void requestFinished(const RequestRecord &record) = 0;
    virtual void retried(const Base::RequestKey &request) = 0;
};

} // namespace Node
