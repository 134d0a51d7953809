#include "node/storedanswer.h"

#include "untrusted/jsonbytes.h"

#include <nlohmann/json.hpp>

namespace Node {

using Json = nlohmann::json;

std::string encodeAnswer(const StoredAnswer &answer)
{
    const Json json{{"status", answer.status},
                    {"contentType", answer.contentType},
                    {"events", answer.isEventStream},
                    {"parts", answer.parts}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Base::Result<StoredAnswer> decodeAnswer(const std::string &text)
{
    const Json json = Untrusted::readJson(text);
    const bool isWellFormed = json.is_object() && json.contains("status") && json.contains("parts")
                              && json["status"].is_number_integer() && json["parts"].is_array();
    if (!isWellFormed)
        return boost::leaf::new_error(MalformedAnswer{});
    StoredAnswer answer;
    answer.status = json["status"].get<int>();
    const auto contentType = json.find("contentType");
    if (contentType != json.end() && contentType->is_string())
        answer.contentType = contentType->get<std::string>();
    const auto events = json.find("events");
    answer.isEventStream = events != json.end() && events->is_boolean() && events->get<bool>();
    for (const Json &part : json["parts"]) {
        if (!part.is_string())
            return boost::leaf::new_error(MalformedAnswer{});
        answer.parts.push_back(part.get<std::string>());
    }
    return answer;
}

} // namespace Node
