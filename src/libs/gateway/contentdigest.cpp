#include "gateway/contentdigest.h"

#include "base/hash.h"

#include <string_view>

namespace Gateway {

std::uint64_t contentDigest(const Request &message, std::string_view body, const HeaderNames &names)
{
    const std::string_view target(message.target().data(), message.target().size());
    const std::string_view method(message.method_string().data(), message.method_string().size());
    std::uint64_t digest = 0;
    // Each part seeds the hash of the next one, so that bytes cannot move between parts.
    for (const std::string_view part :
         {method, field(message, "Host"), target, field(message, names.model),
          field(message, names.tokenCounts), field(message, names.promptParts), body})
        digest = Base::stableHash(part, digest);
    return digest;
}

} // namespace Gateway
