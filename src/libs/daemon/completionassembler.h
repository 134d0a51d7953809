#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace Daemon {

/// Assembles one chat completion from the chunks of its stream, for a caller that did not ask for a
/// stream. Ignores chunks that are not JSON objects.
class CompletionAssembler
{
public:
    void add(const std::string &chunk);
    /// Returns the complete chat completion as JSON.
    std::string completion() const;

private:
    struct Choice
    {
        std::string role = "assistant";
        std::string content;
        nlohmann::json finishReason;
    };

    void addChoice(const nlohmann::json &choice);

    nlohmann::json m_firstChunk;
    nlohmann::json m_usage;
    std::map<std::uint64_t, Choice> m_choices;
};

} // namespace Daemon
