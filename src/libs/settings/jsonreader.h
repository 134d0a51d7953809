#pragma once

#include "settings/address.h"
#include "settings/settingsfault.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Settings::Internal {

using Json = nlohmann::json;

/// Parses \a text, in which comments are allowed. A syntax error and every key that stands
/// twice in one object become faults; nothing is returned after a syntax error.
std::optional<Json> parseJson(std::string_view text, SettingsFaults &faults);

/// What \a json is, short enough for a message.
std::string describe(const Json &json);

/// Reads the members of one JSON object and records each fault. A reader never stops at a
/// fault: it returns a default and goes on, so that all faults of a text are found at once.
class ObjectReader
{
public:
    /// \a json is the value at \a pointer; if it is no object that is a fault. The arguments
    /// outlive the reader.
    ObjectReader(const Json &json, const Json::json_pointer &pointer, SettingsFaults &faults);

    /// The member \a key; null if it is missing, which is a fault only for required().
    const Json *optional(const std::string &key);
    const Json *required(const std::string &key, const std::string &expected);

    /// Required: 1 to 64 letters, digits, '.', '_' or '-'.
    std::string name(const std::string &key);
    /// Required.
    Address address(const std::string &key);
    /// Optional: a whole number from \a smallest, which is not negative, to \a largest.
    std::int64_t integer(const std::string &key, std::int64_t smallest, std::int64_t largest,
                         std::int64_t defaultValue);
    /// Optional: any number from \a smallest to \a largest.
    double number(const std::string &key, double smallest, double largest, double defaultValue);
    /// Optional: one of \a choices; returns its place.
    std::size_t choice(const std::string &key, const std::vector<std::string> &choices,
                       std::size_t defaultChoice);

    Json::json_pointer pointerTo(const std::string &key) const { return m_pointer / key; }
    void addFault(const std::string &key, const std::string &expected, const std::string &found);
    /// Makes every member that was not asked for a fault. Call it last.
    void finish();

private:
    const Json *m_json;
    Json::json_pointer m_pointer;
    SettingsFaults *m_faults;
    std::vector<std::string> m_asked;
};

} // namespace Settings::Internal
