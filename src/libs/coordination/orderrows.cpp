#include "coordination/orderrows.h"

#include "untrusted/jsonbytes.h"

#include <nlohmann/json.hpp>

namespace Coordination {

namespace {

using Json = nlohmann::json;

std::string stringValue(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::uint64_t unsignedValue(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

constexpr const char *loadModelKind = "load_model";
constexpr const char *changeRoleKind = "change_role";

} // namespace

std::string encodeDesired(const DesiredRow &row)
{
    const char *kind = row.order.kind == OrderKind::LoadModel ? loadModelKind : changeRoleKind;
    return Json{{"number", row.number},
                {"order", kind},
                {"model", row.order.model},
                {"role", row.order.role}}
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<DesiredRow> decodeDesired(const std::string &text)
{
    const Json json = Untrusted::readJson(text);
    if (!json.is_object())
        return std::nullopt;
    const std::string kind = stringValue(json, "order");
    DesiredRow row;
    row.number = unsignedValue(json, "number");
    if (row.number == 0 || (kind != loadModelKind && kind != changeRoleKind))
        return std::nullopt;
    row.order.kind = kind == loadModelKind ? OrderKind::LoadModel : OrderKind::ChangeRole;
    row.order.model = stringValue(json, "model");
    row.order.role = stringValue(json, "role");
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
    const Json json = Untrusted::readJson(text);
    if (!json.is_object())
        return std::nullopt;
    OrderLeaseRow row;
    row.holder = stringValue(json, "holder");
    row.fence = unsignedValue(json, "fence");
    row.number = unsignedValue(json, "number");
    row.renewal = unsignedValue(json, "renewal");
    const auto done = json.find("done");
    row.isDone = done != json.end() && done->is_boolean() && done->get<bool>();
    if (row.holder.empty() || row.fence == 0)
        return std::nullopt;
    return row;
}

} // namespace Coordination
