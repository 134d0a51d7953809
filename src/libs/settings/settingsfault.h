#pragma once

#include <string>
#include <vector>

namespace Settings {

/// One error in a JSON text.
struct SettingsFault
{
    /// JSON pointer (RFC 6901) to the faulty value; empty for the whole text.
    std::string pointer;
    /// What the text should have there, in words.
    std::string expected;
    /// What the text has there, shortened.
    std::string found;

    bool operator==(const SettingsFault &) const = default;
};

/// Error: all faults of a JSON text, so that one run shows everything that has to be corrected.
struct SettingsFaults
{
    std::vector<SettingsFault> faults;

    bool operator==(const SettingsFaults &) const = default;
};

/// Returns the message "POINTER: expected EXPECTED, found FOUND" for an operator.
std::string toString(const SettingsFault &fault);

} // namespace Settings
