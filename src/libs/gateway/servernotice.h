#pragma once

#include "gateway/headernames.h"
#include "gateway/httptext.h"
#include "routing/servernotices.h"

namespace Gateway {

/// Longest time in which a server is believed to want no requests. A longer one is cut to it.
inline constexpr Base::Duration maxBackoff = std::chrono::hours(1);

/// Returns what \a head says about the server that sent it. Only an answer that turns a request
/// away can ask for a pause. A time that is not a positive number of seconds counts as none. An
/// answer of another server than the request named says nothing about the named one.
Routing::ServerNotice serverNotice(const ResponseHead &head, const HeaderNames &names);

} // namespace Gateway
