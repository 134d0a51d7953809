#include "platformstandin/seed.h"

#include "common/program.h"
#include "settings/changecodec.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <array>
#include <fstream>
#include <vector>

namespace StandIn {

namespace {

using Json = nlohmann::json;

std::string sha256Hex(const std::string &text)
{
    constexpr char digits[] = "0123456789abcdef";
    std::array<unsigned char, 32> digest{};
    gnutls_hash_fast(GNUTLS_DIG_SHA256, text.data(), text.size(), digest.data());
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4];
        hex += digits[byte & 15];
    }
    return hex;
}

Json arrayOf(const Json &seed, const char *key)
{
    const auto it = seed.find(key);
    return it != seed.end() && it->is_array() ? *it : Json::array();
}

std::vector<Settings::ConfigurationChange> changesOf(const Json &seed)
{
    std::vector<Settings::ConfigurationChange> changes;
    for (const Json &item : arrayOf(seed, "classes")) {
        Settings::ClassTarget target;
        target.name = Base::ClassId(textOf(item, "class"));
        target.startWithin =
            Base::Milliseconds(static_cast<std::int64_t>(numberOf(item, "startWithinMs")));
        if (item.contains("claim") && item["claim"].is_number())
            target.claim = item["claim"].get<double>();
        changes.push_back({changes.size() + 1, target});
    }
    for (const Json &item : arrayOf(seed, "customers")) {
        const Settings::Customer customer{Base::CustomerId(textOf(item, "customer")),
                                          sha256Hex(textOf(item, "key"))};
        changes.push_back({changes.size() + 1, customer});
    }
    return changes;
}

} // namespace

Base::Result<void> readSeed(const std::string &file, Table &table, HostBoard &hosts)
{
    std::ifstream in(file);
    const Json seed = Json::parse(in, nullptr, false, true);
    if (!seed.is_object())
        return boost::leaf::new_error(WrongSeed{file + ": no JSON object"});
    const std::vector<Settings::ConfigurationChange> changes = changesOf(seed);
    std::vector<Storage::TableWrite> writes;
    for (const Settings::ConfigurationChange &change : changes)
        writes.push_back({Settings::changeKey(change.version), Settings::encodeChange(change),
                          Storage::absentRow});
    if (!changes.empty())
        writes.push_back(
            {Settings::headKey, std::to_string(changes.back().version), Storage::absentRow});
    table.transact(writes);
    hosts.set(arrayOf(seed, "hosts"));
    return {};
}

} // namespace StandIn
