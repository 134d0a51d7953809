#pragma once

#include "base/result.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace StandIn {

/// One option of a stand-in: "--name VALUE" on the command line, or the key "name" in the settings
/// file.
struct OptionSpec
{
    std::string name;
    std::string defaultValue;
    std::string help;
};

/// Error: the command line or the settings file is wrong. \a text describes the fault.
struct WrongUsage
{
    std::string text;
};

/// Option values of a stand-in. The command line takes precedence over the settings file.
class Options
{
public:
    /// Adds --address, --settings and --help to \a specs. Fails with WrongUsage.
    static Base::Result<Options> parse(int argc, char **argv, std::vector<OptionSpec> specs);

    /// Value of the option \a name, which must be one of the specified options.
    std::string text(const std::string &name) const { return m_values.at(name); }
    /// Value as an integer; 0 if it is not a number.
    std::int64_t number(const std::string &name) const;
    /// Value as a floating-point number; 0 if it is not a number.
    double decimal(const std::string &name) const;
    /// Whether the value is "true".
    bool isSet(const std::string &name) const { return m_values.at(name) == "true"; }
    std::chrono::milliseconds milliseconds(const std::string &name) const
    {
        return std::chrono::milliseconds(number(name));
    }

private:
    std::map<std::string, std::string> m_values;
};

} // namespace StandIn
