#pragma once

#include <string>
#include <string_view>

namespace Daemon {

/// Returns the SHA-256 digest of \a key in lower-case hex, or an empty string if it cannot be
/// computed. The key itself is not stored.
std::string keyDigest(std::string_view key);

} // namespace Daemon
