#pragma once

#include <string>
#include <string_view>

namespace Daemon {

/// Returns one server-sent event. A line break in \a data starts another data line.
std::string sseEvent(std::string_view data);
/// Does the same with an event name.
std::string sseEvent(std::string_view name, std::string_view data);

/// Data of the event that ends a complete stream of a model.
inline constexpr std::string_view doneMarker = "[DONE]";

} // namespace Daemon
