#include "daemon/chunkunits.h"

#include "node/nodeconstants.h"
#include "untrusted/jsonbytes.h"

#include <nlohmann/json.hpp>

namespace Daemon {

namespace {

using Json = nlohmann::json;

/// Upper bound of a count. Larger ones come from damaged chunks; capping them keeps sums from
/// overflowing.
constexpr std::uint64_t maxTokenCount = 100000000;

std::uint64_t countOf(const Json &json, const char *key)
{
    const auto it = json.find(key);
    const bool isCount = it != json.end() && it->is_number_unsigned();
    return isCount ? std::min(it->get<std::uint64_t>(), maxTokenCount) : 0;
}

bool hasContent(const Json &choice)
{
    const auto delta = choice.is_object() ? choice.find("delta") : choice.end();
    if (!choice.is_object() || delta == choice.end() || !delta->is_object())
        return false;
    const auto content = delta->find("content");
    return content != delta->end() && content->is_string()
           && !content->get_ref<const std::string &>().empty();
}

std::uint64_t generatedTokens(const Json &json)
{
    if (json.contains("lagoonmast_tokens"))
        return countOf(json, "lagoonmast_tokens");
    const auto choices = json.find("choices");
    if (choices == json.end() || !choices->is_array())
        return 0;
    std::uint64_t tokens = 0;
    for (const Json &choice : *choices)
        tokens += hasContent(choice) ? 1 : 0;
    return tokens;
}

} // namespace

Base::ServiceUnits chunkUnits(const std::string &chunk)
{
    const Json json = Untrusted::readJson(chunk);
    if (!json.is_object())
        return 0;
    Base::ServiceUnits units = generatedTokens(json) * Node::generatedTokenWeight;
    const auto usage = json.find("usage");
    if (usage != json.end() && usage->is_object())
        units += countOf(*usage, "prompt_tokens");
    return units;
}

} // namespace Daemon
