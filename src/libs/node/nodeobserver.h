#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "node/callersink.h"

#include <string>

namespace Node {

/// A step of a request on its way through the fleet. Each hop becomes one span of its trace.
enum class Hop { Entry, Claim, Queue, Backend };

/// Summary of a finished hop.
struct HopRecord
{
    Base::RequestKey request;
    /// W3C traceparent header of the caller; empty if it sent none.
    std::string traceparent;
    Hop hop = Hop::Entry;
    Base::TimePoint begin;
    Base::TimePoint end;
    /// Where the hop took place: the entry host, "table" for a claim, the home router for a queue
    /// hop, the server for a backend hop.
    std::string place;
    bool isFailed = false;
};

/// Summary of a finished request.
struct RequestRecord
{
    Base::RequestKey request;
    Base::CustomerId customer;
    Base::ClassId workClass;
    bool isFailed = false;
    /// Valid only if the request failed.
    FailureType failure = FailureType::BadRequest;
    /// Time from arrival until the last attempt was sent; zero if the request did not end while
    /// an attempt was running.
    Base::Duration queueWait{0};
    /// Time from arrival to the first part of the answer; zero if there was none.
    Base::Duration firstPart{0};
    /// Time from arrival to the end.
    Base::Duration whole{0};
    /// Weighted tokens received under all attempts.
    Base::ServiceUnits units = 0;
    /// Number of attempts that requested a permit or were sent.
    std::uint32_t attempts = 0;
};

/// Receives reports of what the node did, for logs, metrics and traces. Implementations must not
/// call back into the node.
class NodeObserver
{
public:
    virtual ~NodeObserver() = default;
    virtual void hopFinished(const HopRecord &record) = 0;
    virtual void requestFinished(const RequestRecord &record) = 0;
    /// Called when a failed attempt is to be retried or its stream resumed.
    virtual void retried(const Base::RequestKey &request) = 0;
};

} // namespace Node
