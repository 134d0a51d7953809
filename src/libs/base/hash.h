#pragma once

#include <cstdint>
#include <string_view>

namespace Base {

/// 64-bit hash, the same on every host and in every version (XXH3).
std::uint64_t stableHash(std::string_view data);
/// As above, mixed with \a seed.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed);

} // namespace Base
