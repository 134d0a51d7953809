#pragma once

#include <cstdint>
#include <string_view>

namespace Base {

/// Returns a 64-bit hash of \a data (XXH3), which is the same on every host and in every version.
std::uint64_t stableHash(std::string_view data);
/// Returns the same kind of hash, which also depends on \a seed.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed);

} // namespace Base
