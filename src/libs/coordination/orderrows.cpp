#include "coordination/orderrows.h"

#include <nlohmann/json.hpp>

namespace Coordination {

namespace {

using Json = nlohmann::json;

std::string textOf(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::uint64_t numberOf(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

constexpr const char *loadModel = "load_model";
constexpr const char *changeRole = "change_role";

} // namespace

std::string encodeDesired(const DesiredRow &row)
{
    const char *kind = row.order.kind == OrderKind::LoadModel ? loadModel : changeRole;
    return Json{{"number", row.number},
                {"order", kind},
                {"model", row.order.model},
                {"role", row.order.role}}
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<DesiredRow> decodeDesired(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    const std::string kind = textOf(json, "order");
    DesiredRow row;
    row.number = numberOf(json, "number");
    if (row.number == 0 || (kind != loadModel && kind != changeRole))
        return std::nullopt;
    row.order.kind = kind == loadModel ? OrderKind::LoadModel : OrderKind::ChangeRole;
    row.order.model = textOf(json, "model");
    row.order.role = textOf(json, "role");
    return row;
}

std::string encodeOrderLease(const OrderLeaseRow &row)
{
    return Json{{"holder", row.holder},
                {"fence", row.fence},
                {"number", row.number},
                {"renewal", row.renewal},
                {"done", row.isDone}}
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<OrderLeaseRow> decodeOrderLease(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    OrderLeaseRow row;
    row.holder = textOf(json, "holder");
    row.fence = numberOf(json, "fence");
    row.number = numberOf(json, "number");
    row.renewal = numberOf(json, "renewal");
    const auto done = json.find("done");
    row.isDone = done != json.end() && done->is_boolean() && done->get<bool>();
    if (row.holder.empty() || row.fence == 0)
        return std::nullopt;
    return row;
}

} // namespace Coordination
