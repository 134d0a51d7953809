#include "base/hash.h"

#include <xxhash.h>

namespace Base {

std::uint64_t stableHash(std::string_view data)
{
    return XXH3_64bits(data.data(), data.size());
}

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

} // namespace Base
