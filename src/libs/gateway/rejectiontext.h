#pragma once

#include "gateway/eventlog.h"
#include "routing/work.h"

namespace Gateway {

/// Adds to \a line why a request was turned away without an attempt.
inline void addRejection(LogLine &line, const Routing::Rejection &why)
{
    line.add("why", Routing::nameOf(why.reason))
        .add("limit", Routing::nameOf(why.shareLimit))
        .add("received", why.received)
        .add("shareLevel", why.shareLevel)
        .add("retryAfterMs", Base::Duration(why.retryAfter));
}

} // namespace Gateway
