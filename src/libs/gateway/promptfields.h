#pragma once

#include "routing/work.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Gateway {

/// Token counts that a request states.
struct TokenCounts
{
    std::uint32_t prompt = 0;
    /// Maximum number of tokens to generate.
    std::uint32_t output = 0;
};

/// Parses "IN,OUT". Returns zeros for any other text; the request is then placed like one without a
/// prompt.
TokenCounts parseTokenCounts(std::string_view text);
/// Parses "HEX:TOKENS,HEX:TOKENS". Stops at the first malformed part, or after 64 parts.
std::vector<Routing::PromptPart> parsePromptParts(std::string_view text);

} // namespace Gateway
