#pragma once

#include <string>
#include <string_view>

namespace Daemon {

/// SHA-256 of \a key in lower-case hex. The key itself is not kept anywhere.
std::string keyDigest(std::string_view key);

} // namespace Daemon
