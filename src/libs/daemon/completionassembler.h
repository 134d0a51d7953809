#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace Daemon {

/// Makes one chat completion from the chunks of its stream, for a caller that did not ask for
/// a stream. Chunks that are not JSON objects are left out.
class CompletionAssembler
{
public:
    void add(const std::string &chunk);
    /// The JSON of the whole completion.
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
