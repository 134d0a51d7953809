#pragma once

#include "base/time.h"
#include "node/backendclient.h"
#include "node/openrequest.h"
#include "scheduling/retrypolicy.h"

namespace Node {

struct Server;

/// What is sent for the request's current attempt; a stream that has begun is asked to go on.
BackendRequest backendRequest(const OpenRequest &open, const Server &server);

/// What the retry policy looks at after an attempt has failed.
Scheduling::FailedAttempt failedAttempt(const OpenRequest &open, const BackendFailed &failed,
                                        Base::TimePoint now);

} // namespace Node
