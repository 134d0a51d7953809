#pragma once

#include "routing/work.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Gateway {

struct TokenCounts
{
    std::uint32_t prompt = 0;
    /// Most tokens to generate.
    std::uint32_t output = 0;
};

/// Reads "IN,OUT"; zeros for any other text: the request is then placed as one without a prompt.
TokenCounts parseTokenCounts(std::string_view text);
/// Reads "HEX:TOKENS,HEX:TOKENS"; stops at the first part that is malformed.
std::vector<Routing::PromptPart> parsePromptParts(std::string_view text);

} // namespace Gateway
