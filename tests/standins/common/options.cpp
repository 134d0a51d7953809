#include "common/options.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <utility>

namespace StandIn {

namespace {

using Json = nlohmann::json;
using Values = std::map<std::string, std::string>;

WrongUsage unknownKey(std::string file, const std::string &key)
{
    file += ": unknown key ";
    file += key;
    return {file};
}

Base::Result<Values> readSettings(const std::string &file, const Values &known)
{
    std::ifstream in(file);
    const Json json = Json::parse(in, nullptr, false, true);
    if (!json.is_object())
        return boost::leaf::new_error(
            WrongUsage{file + ": not a readable file with a JSON object"});
    Values values;
    for (const auto &[key, value] : json.items()) {
        if (known.count(key) == 0)
            return boost::leaf::new_error(unknownKey(file, key));
        values[key] = value.is_string() ? value.get<std::string>() : value.dump();
    }
    return values;
}

std::string usage(const std::string &program, const std::vector<OptionSpec> &specs)
{
    std::string text = "usage: " + program + " [options]\n";
    for (const OptionSpec &spec : specs)
        text += "  --" + spec.name + "  " + spec.help + " (" + spec.defaultValue + ")\n";
    return text;
}

} // namespace

Base::Result<Options> Options::parse(int argc, char **argv, std::vector<OptionSpec> specs)
{
    specs.push_back({"address", "127.0.0.1:0", "address to listen on, IP:PORT"});
    specs.push_back({"settings", "", "JSON file that has these options as keys"});
    Options options;
    std::vector<option> longOptions;
    for (const OptionSpec &spec : specs) {
        options.m_values[spec.name] = spec.defaultValue;
        longOptions.push_back({spec.name.c_str(), required_argument, nullptr, 0});
    }
    longOptions.push_back({"help", no_argument, nullptr, 'h'});
    longOptions.push_back({nullptr, 0, nullptr, 0});

    Values given;
    int index = 0;
    int found = 0;
    while ((found = getopt_long(argc, argv, "h", longOptions.data(), &index)) != -1) {
        if (found != 0)
            return boost::leaf::new_error(WrongUsage{usage(argv[0], specs)});
        given[specs[static_cast<std::size_t>(index)].name] = optarg;
    }
    if (optind != argc)
        return boost::leaf::new_error(
            WrongUsage{std::string("unexpected argument: ") + argv[optind]});
    if (given.count("settings") > 0) {
        BOOST_LEAF_AUTO(settings, readSettings(given["settings"], options.m_values));
        for (const auto &[key, value] : settings)
            options.m_values[key] = value;
    }
    for (const auto &[key, value] : given)
        options.m_values[key] = value;
    return options;
}

std::int64_t Options::number(const std::string &name) const
{
    const std::string &value = m_values.at(name);
    std::int64_t parsed = 0;
    std::from_chars(value.data(), value.data() + value.size(), parsed);
    return parsed;
}

double Options::decimal(const std::string &name) const
{
    return std::strtod(m_values.at(name).c_str(), nullptr);
}

} // namespace StandIn
