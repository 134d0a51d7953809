#pragma once

#include "base/result.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace StandIn {

/// One option: "--name VALUE" on the command line, or the key "name" of the settings file.
struct OptionSpec
{
    std::string name;
    std::string defaultValue;
    std::string help;
};

/// The command line or the settings file is wrong; \a text says where.
struct WrongUsage
{
    std::string text;
};

/// The values a stand-in is started with. The command line goes before the settings file.
class Options
{
public:
    /// Adds --address, --settings and --help to \a specs. Fails with WrongUsage.
    static Base::Result<Options> parse(int argc, char **argv, std::vector<OptionSpec> specs);

    std::string text(const std::string &name) const { return m_values.at(name); }
    /// 0 if the value is no number.
    std::int64_t number(const std::string &name) const;
    double decimal(const std::string &name) const;
    bool isSet(const std::string &name) const { return m_values.at(name) == "true"; }
    std::chrono::milliseconds milliseconds(const std::string &name) const
    {
        return std::chrono::milliseconds(number(name));
    }

private:
    std::map<std::string, std::string> m_values;
};

} // namespace StandIn
