#include "settings/changecodec.h"

#include "untrusted/jsonbytes.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>

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

std::string stringMember(const Json &json, const char *key)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// Returns the text of \a json. Bytes that are not UTF-8 are replaced; by default they would throw.
std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Base::Result<ConfigurationChange> decodeChangeJson(ConfigurationVersion version, const Json &json)
{
    if (!json.is_object())
        return boost::leaf::new_error(MalformedChange{version});
    const std::string kind = stringMember(json, "kind");
    const std::string className = stringMember(json, "class");
    const std::string customer = stringMember(json, "customer");
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
        change.what = Customer{Base::CustomerId(customer), stringMember(json, "keyDigest")};
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

Json encodeWithVersion(const ConfigurationChange &change)
{
    Json json = std::visit(ToJson(), change.what);
    json["version"] = change.version;
    return json;
}

std::optional<ConfigurationVersion> versionMember(const Json &json)
{
    if (!json.is_object())
        return std::nullopt;
    const auto it = json.find("version");
    if (it == json.end() || !it->is_number_unsigned())
        return std::nullopt;
    return it->get<ConfigurationVersion>();
}

} // namespace

std::string encodeChange(const ConfigurationChange &change, const std::string &token)
{
    Json json = std::visit(ToJson(), change.what);
    if (!token.empty())
        json["token"] = token;
    return dump(json);
}

std::string tokenOf(const std::string &text)
{
    const Json json = Untrusted::readJson(text);
    return json.is_object() ? stringMember(json, "token") : std::string();
}

Base::Result<ConfigurationChange> decodeChange(ConfigurationVersion version,
                                               const std::string &text)
{
    return decodeChangeJson(version, Untrusted::readJson(text));
}

std::string encodeConfiguration(const Configuration &configuration)
{
    Json entries = Json::array();
    for (const auto &[name, target] : configuration.targets())
        entries.push_back(encodeWithVersion({target.version, target.target}));
    for (const auto &[id, customer] : configuration.customers())
        entries.push_back(encodeWithVersion({configuration.version(), customer}));
    return dump({{"version", configuration.version()}, {"entries", entries}});
}

Base::Result<Configuration> decodeConfiguration(const std::string &text)
{
    const Json json = Untrusted::readJson(text);
    const std::optional<ConfigurationVersion> version = versionMember(json);
    if (!version || !json.contains("entries") || !json["entries"].is_array())
        return boost::leaf::new_error(MalformedChange{});
    Configuration configuration;
    configuration.setVersion(*version);
    for (const Json &entry : json["entries"]) {
        BOOST_LEAF_AUTO(change, decodeChangeJson(versionMember(entry).value_or(0), entry));
        if (const auto *target = std::get_if<ClassTarget>(&change.what))
            configuration.insert(VersionedTarget{*target, change.version});
        if (const auto *customer = std::get_if<Customer>(&change.what))
            configuration.insert(*customer);
    }
    return configuration;
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
