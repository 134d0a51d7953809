#pragma once

#include "base/time.h"
#include "node/backendclient.h"
#include "node/openrequest.h"
#include "scheduling/retrypolicy.h"

namespace Node {

struct Server;

/// Returns the request to send to \a server for the current attempt. If parts of a stream have
/// already arrived, it requests to resume the stream after them.
BackendRequest backendRequest(const OpenRequest &open, const Server &server);

/// Returns the input of the retry policy for a failed attempt.
Scheduling::FailedAttempt failedAttempt(const OpenRequest &open, const BackendFailed &failed,
                                        Base::TimePoint now);

} // namespace Node
