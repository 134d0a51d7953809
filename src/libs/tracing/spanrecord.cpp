#include "tracing/spanrecord.h"

#include <nlohmann/json.hpp>

namespace Tracing {

std::string toJsonLine(const SpanRecord &span)
{
    using Json = nlohmann::ordered_json;
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    Json json{{"trace", traceIdText(span.context)}, {"span", spanIdText(span.context.spanId)}};
    if (span.parentId != 0)
        json["parent"] = spanIdText(span.parentId);
    json["name"] = span.name;
    json["startUs"] = duration_cast<microseconds>(span.start.time_since_epoch()).count();
    json["durationUs"] = span.duration.count();
    for (const auto &[key, value] : span.tags) {
        Json &tag = json["tags"][key];
        std::visit([&tag](const auto &it) { tag = it; }, value);
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace Tracing
