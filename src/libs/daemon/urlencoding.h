#pragma once

#include <string>
#include <string_view>

namespace Daemon {

/// \a text as one part of a URL: all but letters, digits and "-._~" as %XX.
std::string percentEncoded(std::string_view text);

} // namespace Daemon
