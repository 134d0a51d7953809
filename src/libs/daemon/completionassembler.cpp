#include "daemon/completionassembler.h"

#include "untrusted/jsonbytes.h"

namespace Daemon {

using Json = nlohmann::json;

void CompletionAssembler::add(const std::string &chunk)
{
    const Json json = Untrusted::readJson(chunk);
    if (!json.is_object())
        return;
    if (m_firstChunk.is_null()) {
        m_firstChunk = json;
        m_firstChunk.erase("choices");
        m_firstChunk.erase("lagoonmast_tokens");
    }
    const auto usage = json.find("usage");
    if (usage != json.end() && usage->is_object())
        m_usage = *usage;
    const auto choices = json.find("choices");
    if (choices == json.end() || !choices->is_array())
        return;
    for (const Json &choice : *choices)
        addChoice(choice);
}

std::string CompletionAssembler::completion() const
{
    Json json = m_firstChunk.is_object() ? m_firstChunk : Json::object();
    json["object"] = "chat.completion";
    Json &choices = json["choices"] = Json::array();
    for (const auto &[index, choice] : m_choices)
        choices.push_back({{"index", index},
                           {"message", {{"role", choice.role}, {"content", choice.content}}},
                           {"finish_reason", choice.finishReason}});
    if (!m_usage.is_null())
        json["usage"] = m_usage;
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void CompletionAssembler::addChoice(const Json &choice)
{
    if (!choice.is_object())
        return;
    const auto index = choice.find("index");
    const bool hasIndex = index != choice.end() && index->is_number_unsigned();
    Choice &assembled = m_choices[hasIndex ? index->get<std::uint64_t>() : 0];
    const auto reason = choice.find("finish_reason");
    if (reason != choice.end() && !reason->is_null())
        assembled.finishReason = *reason;
    const auto delta = choice.find("delta");
    if (delta == choice.end() || !delta->is_object())
        return;
    const auto role = delta->find("role");
    if (role != delta->end() && role->is_string())
        assembled.role = role->get<std::string>();
    const auto content = delta->find("content");
    if (content != delta->end() && content->is_string())
        assembled.content += content->get<std::string>();
}

} // namespace Daemon
