#pragma once

#include <string>
#include <vector>

namespace Settings {

/// One thing that is wrong with a JSON text.
struct SettingsFault
{
    /// JSON pointer (RFC 6901) to the place; empty for the whole text.
    std::string pointer;
    std::string expected;
    std::string found;

    bool operator==(const SettingsFault &) const = default;
};

/// Everything that is wrong with a JSON text, so that one run shows all there is to mend.
struct SettingsFaults
{
    std::vector<SettingsFault> faults;

    bool operator==(const SettingsFaults &) const = default;
};

/// "POINTER: expected EXPECTED, found FOUND", for people.
std::string toString(const SettingsFault &fault);

} // namespace Settings
