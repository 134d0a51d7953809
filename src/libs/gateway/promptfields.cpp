#include "gateway/promptfields.h"

#include "gateway/httptext.h"

#include <algorithm>

namespace Gateway {

namespace {

/// Larger counts are clamped: no prompt has as many tokens, and the bound keeps sums within 32
/// bits.
constexpr std::uint64_t maxTokens = 10'000'000;
constexpr std::size_t maxParts = 64;
constexpr int hexadecimalBase = 16;

std::string_view takeUntil(std::string_view &text, char separator)
{
    const std::size_t end = std::min(text.find(separator), text.size());
    const std::string_view head = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return head;
}

} // namespace

TokenCounts parseTokenCounts(std::string_view text)
{
    const auto prompt = parseNumber(takeUntil(text, ','));
    const auto output = parseNumber(text);
    if (!prompt || !output)
        return {};
    return {static_cast<std::uint32_t>(std::min(*prompt, maxTokens)),
            static_cast<std::uint32_t>(std::min(*output, maxTokens))};
}

std::vector<Routing::PromptPart> parsePromptParts(std::string_view text)
{
    std::vector<Routing::PromptPart> parts;
    while (!text.empty() && parts.size() < maxParts) {
        std::string_view part = takeUntil(text, ',');
        const auto hash = parseNumber(takeUntil(part, ':'), hexadecimalBase);
        const auto tokens = parseNumber(part);
        if (!hash || !tokens)
            return parts;
        parts.push_back({*hash, static_cast<std::uint32_t>(std::min(*tokens, maxTokens))});
    }
    return parts;
}

} // namespace Gateway
