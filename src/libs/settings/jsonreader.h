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

/// Parses \a text, which may contain comments. Adds a fault for a syntax error and for every key
/// that occurs twice in one object. Returns nothing after a syntax error.
std::optional<Json> parseJson(std::string_view text, SettingsFaults &faults);

/// Returns a description of \a json that is short enough for a message.
std::string describe(const Json &json);

/// Reads the members of one JSON object and records each fault. A reader does not stop at a fault:
/// it returns a default value and continues, so that all faults of a text are found in one pass.
class ObjectReader
{
public:
    /// \a json is the value at \a pointer; a value that is not an object is a fault. \a json and
    /// \a faults must outlive the reader.
    ObjectReader(const Json &json, const Json::json_pointer &pointer, SettingsFaults &faults);

    /// Returns the member \a key, or null if it is missing.
    const Json *optional(const std::string &key);
    /// Returns the member \a key. If it is missing, returns null and adds a fault with the text
    /// \a expected.
    const Json *required(const std::string &key, const std::string &expected);

    /// Reads a required string of 1 to 64 letters, digits, '.', '_' or '-'.
    std::string name(const std::string &key);
    /// Reads a required "IP:PORT".
    Address address(const std::string &key);
    /// Reads an optional whole number from \a min, which must not be negative, to \a max.
    std::int64_t integer(const std::string &key, std::int64_t min, std::int64_t max,
                         std::int64_t defaultValue);
    /// Reads an optional number from \a min to \a max.
    double number(const std::string &key, double min, double max, double defaultValue);
    /// Reads an optional string that is one of \a choices; returns its index.
    std::size_t choice(const std::string &key, const std::vector<std::string> &choices,
                       std::size_t defaultChoice);

    /// Returns the JSON pointer of the member \a key.
    Json::json_pointer pointerTo(const std::string &key) const { return m_pointer / key; }
    /// Adds a fault of the member \a key.
    void addFault(const std::string &key, const std::string &expected, const std::string &found);
    /// Adds a fault for every member that was not read. Must be called last.
    void finish();

private:
    const Json *m_json;
    Json::json_pointer m_pointer;
    SettingsFaults *m_faults;
    /// Keys that were read, and that finish() therefore accepts.
    std::vector<std::string> m_readKeys;
};

} // namespace Settings::Internal
