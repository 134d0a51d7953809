#include "settings/changecodec.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdio>

namespace Settings {

namespace {

using Json = nlohmann::json;

struct ToJson
{
    Json operator()(const ClassTarget &target) const
    {
        Json json{{"kind", "target"},
                  {"class", target.name.value()},
                  {"startWithinMs", target.startWithin.count()}};
        if (target.claim)
            json["claim"] = *target.claim;
        return json;
    }
    Json operator()(const Customer &customer) const
    {
        return {{"kind", "customer"},
                {"customer", customer.id.value()},
                {"keyDigest", customer.keyDigest}};
    }
    Json operator()(const RemoveClass &removed) const
    {
        return {{"kind", "removeClass"}, {"class", removed.name.value()}};
    }
    Json operator()(const RemoveCustomer &removed) const
    {
        return {{"kind", "removeCustomer"}, {"customer", removed.id.value()}};
    }
};

std::string textOf(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

} // namespace

std::string encodeChange(const ConfigurationChange &change)
{
    return std::visit(ToJson(), change.what).dump();
}

Base::Result<ConfigurationChange> decodeChange(ConfigurationVersion version,
                                               const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return boost::leaf::new_error(MalformedChange{version});
    const std::string kind = textOf(json, "kind");
    const std::string className = textOf(json, "class");
    const std::string customer = textOf(json, "customer");
    ConfigurationChange change;
    change.version = version;
    if (kind == "removeClass" && !className.empty()) {
        change.what = RemoveClass{Base::ClassId(className)};
        return change;
    }
    if (kind == "removeCustomer" && !customer.empty()) {
        change.what = RemoveCustomer{Base::CustomerId(customer)};
        return change;
    }
    if (kind == "customer" && !customer.empty()) {
        change.what = Customer{Base::CustomerId(customer), textOf(json, "keyDigest")};
        return change;
    }
    const auto startWithin = json.find("startWithinMs");
    if (kind != "target" || className.empty() || startWithin == json.end()
        || !startWithin->is_number_integer())
        return boost::leaf::new_error(MalformedChange{version});
    ClassTarget target;
    target.name = Base::ClassId(className);
    target.startWithin = Base::Milliseconds(startWithin->get<std::int64_t>());
    const auto claim = json.find("claim");
    if (claim != json.end() && claim->is_number())
        target.claim = claim->get<double>();
    change.what = target;
    return change;
}

std::string changeKey(ConfigurationVersion version)
{
    constexpr int digits = 16;
    std::string text = std::to_string(version);
    if (text.size() < digits)
        text.insert(0, digits - text.size(), '0');
    return changePrefix + text;
}

ConfigurationVersion versionOfKey(const std::string &key)
{
    if (key.rfind(changePrefix, 0) != 0)
        return 0;
    ConfigurationVersion version = 0;
    const char *end = key.data() + key.size();
    const auto [ptr, ec] = std::from_chars(key.data() + changePrefix.size(), end, version);
    return ec == std::errc() && ptr == end ? version : 0;
}

} // namespace Settings
