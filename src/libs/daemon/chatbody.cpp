#include "daemon/chatbody.h"

#include "base/hash.h"
#include "daemon/daemonconstants.h"
#include "daemon/requestparser.h"
#include "untrusted/jsonbytes.h"

#include <nlohmann/json.hpp>

namespace Daemon {

namespace {

using Json = nlohmann::ordered_json;

/// Returns the text of all messages in order. Content that is not a string is included as JSON.
std::string textOf(const Json &messages)
{
    std::string text;
    for (const Json &message : messages) {
        const auto content = message.is_object() ? message.find("content") : message.end();
        if (!message.is_object() || content == message.end() || content->is_null())
            continue;
        text += content->is_string() ? content->get<std::string>() : content->dump();
    }
    return text;
}

std::uint64_t numberOf(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

} // namespace

Base::Result<ChatBody> parseChatBody(const std::string &body)
{
    Json json = Untrusted::readOrderedJson(body);
    if (!json.is_object())
        return boost::leaf::new_error(BadRequest{RequestFault::MalformedBody});
    const auto model = json.find("model");
    const bool hasModel =
        model != json.end() && model->is_string() && !model->get<std::string>().empty();
    if (!hasModel)
        return boost::leaf::new_error(BadRequest{RequestFault::MissingModel});
    const auto messages = json.find("messages");
    if (messages == json.end() || !messages->is_array())
        return boost::leaf::new_error(BadRequest{RequestFault::MalformedBody});
    const auto stream = json.find("stream");
    if (stream != json.end() && !stream->is_boolean())
        return boost::leaf::new_error(BadRequest{RequestFault::MalformedBody});

    ChatBody chat;
    chat.model = model->get<std::string>();
    chat.isStreaming = stream != json.end() && stream->get<bool>();
    const std::string text = textOf(*messages);
    chat.promptTokens = text.size() / bytesPerToken;
    chat.maxTokens =
        std::max(numberOf(json, "max_tokens"), numberOf(json, "max_completion_tokens"));
    if (!text.empty())
        chat.prefix = Base::stableHash(std::string_view(text).substr(0, promptPrefixBytes));
    json["stream"] = true;
    chat.forwardedBody = chat.isStreaming ? body : json.dump();
    return chat;
}

} // namespace Daemon
