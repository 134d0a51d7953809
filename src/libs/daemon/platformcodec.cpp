#include "daemon/platformcodec.h"

#include "untrusted/jsonbytes.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace Daemon {

namespace {

using Base::Result;
using Json = nlohmann::json;

boost::leaf::error_id malformed()
{
    return boost::leaf::new_error(MalformedPlatformAnswer{});
}

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

std::optional<Storage::HostRole> roleOf(const std::string &text)
{
    if (text == "router")
        return Storage::HostRole::Router;
    if (text == "model-server")
        return Storage::HostRole::ModelServer;
    if (text == "application-server")
        return Storage::HostRole::ApplicationServer;
    return std::nullopt;
}

Storage::ListedHost hostOf(const Json &json, Storage::HostRole role)
{
    Storage::ListedHost host;
    host.name = textOf(json, "name");
    host.role = role;
    host.state =
        textOf(json, "state") == "leaving" ? Storage::HostState::Leaving : Storage::HostState::Live;
    host.zone = Base::ZoneId(textOf(json, "zone"));
    host.address = textOf(json, "address");
    host.callerAddress = textOf(json, "callerAddress");
    host.incarnation = numberOf(json, "incarnation");
    const auto checksFences = json.find("checksFences");
    host.isCheckingFences =
        checksFences != json.end() && checksFences->is_boolean() && checksFences->get<bool>();
    const auto pools = json.find("pools");
    if (pools == json.end() || !pools->is_array())
        return host;
    for (const Json &pool : *pools) {
        if (pool.is_string())
            host.pools.emplace_back(pool.get<std::string>());
    }
    return host;
}

} // namespace

std::string encodeWrites(const std::vector<Storage::TableWrite> &writes)
{
    Json list = Json::array();
    for (const Storage::TableWrite &write : writes) {
        Json json{{"key", write.key}};
        json["value"] = write.value ? Json(*write.value) : Json();
        json["expected"] = write.expected ? Json(*write.expected) : Json();
        list.push_back(std::move(json));
    }
    return Json{{"writes", list}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<std::vector<Storage::TableRow>> decodeRows(const std::string &text)
{
    const Json json = Untrusted::readJson(text);
    if (!json.is_object() || !json.contains("rows") || !json["rows"].is_array())
        return malformed();
    std::vector<Storage::TableRow> rows;
    for (const Json &row : json["rows"]) {
        if (!row.is_object() || !row.contains("key"))
            return malformed();
        rows.push_back({textOf(row, "key"), textOf(row, "value"), numberOf(row, "version")});
    }
    return rows;
}

Result<Storage::HostListing> decodeListing(const std::string &text)
{
    const Json json = Untrusted::readJson(text);
    if (!json.is_object() || !json.contains("hosts") || !json["hosts"].is_array())
        return malformed();
    Storage::HostListing listing;
    listing.version = numberOf(json, "version");
    for (const Json &host : json["hosts"]) {
        if (!host.is_object())
            return malformed();
        const std::optional<Storage::HostRole> role = roleOf(textOf(host, "role"));
        if (role && !textOf(host, "name").empty())
            listing.hosts.push_back(hostOf(host, *role));
    }
    return listing;
}

} // namespace Daemon
