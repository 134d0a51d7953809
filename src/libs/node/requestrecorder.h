#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "node/nodeobserver.h"
#include "node/openrequest.h"

#include <string>

namespace Node {

/// Reports the hops and the end of the requests of one entry host to the observer.
class RequestRecorder
{
public:
    RequestRecorder(NodeObserver &observer, const Base::HostId &self);

    /// Reports one hop of a request.
    void recordHop(const OpenRequest &open, Hop hop, Base::TimePoint begin, Base::TimePoint end,
                   const std::string &place, bool isFailed);
    /// Reports the end of a request. \a failure is null if the answer is complete or the caller
    /// disconnected.
    void recordEnd(const OpenRequest &open, const Failure *failure, Base::TimePoint now);

private:
    NodeObserver *m_observer;
    Base::HostId m_self;
};

} // namespace Node
