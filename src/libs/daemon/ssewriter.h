#pragma once

#include <string>
#include <string_view>

namespace Daemon {

/// One server-sent event. A line break in \a data starts a further data line.
std::string sseEvent(std::string_view data);
/// As above with an event name.
std::string sseEvent(std::string_view name, std::string_view data);

/// Ends a whole stream of a model.
inline constexpr std::string_view doneMarker = "[DONE]";

} // namespace Daemon
