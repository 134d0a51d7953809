#pragma once

#include <string>
#include <string_view>

namespace Daemon {

/// Returns \a text encoded as one part of a URL: each character but letters, digits and "-._~"
/// becomes %XX.
std::string percentEncoded(std::string_view text);

} // namespace Daemon
