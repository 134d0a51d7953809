#include "commandline.h"

#include "settings/address.h"

#include <getopt.h>

#include <algorithm>
#include <charconv>
#include <map>

namespace App {

namespace {

enum class OptionId { Settings = 1, Address, Class, StartWithin, Claim, IfMatch, Help, Version };

struct OptionName
{
    OptionId id;
    const char *name;
    int hasValue;
};

constexpr OptionName optionNames[] = {
    {OptionId::Settings, "settings", required_argument},
    {OptionId::Address, "address", required_argument},
    {OptionId::Class, "class", required_argument},
    {OptionId::StartWithin, "start-within-ms", required_argument},
    {OptionId::Claim, "claim", required_argument},
    {OptionId::IfMatch, "if-match", required_argument},
    {OptionId::Help, "help", no_argument},
    {OptionId::Version, "version", no_argument},
};

std::string nameOf(OptionId id)
{
    const auto *it = std::find_if(std::begin(optionNames), std::end(optionNames),
                                  [id](const OptionName &name) { return name.id == id; });
    return std::string("--") + it->name;
}

/// The options and the other arguments that getopt_long() has found.
struct ParsedArguments
{
    std::map<OptionId, std::string> options;
    std::vector<std::string> positional;

    bool has(OptionId id) const { return options.count(id) > 0; }
};

Base::Result<ParsedArguments> parseOptions(const std::vector<std::string> &arguments)
{
    std::vector<std::string> strings{"lagoonmast"};
    strings.insert(strings.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    for (std::string &text : strings)
        argv.push_back(text.data());
    argv.push_back(nullptr);
    std::vector<option> longOptions;
    for (const OptionName &name : optionNames)
        longOptions.push_back({name.name, name.hasValue, nullptr, static_cast<int>(name.id)});
    longOptions.push_back({nullptr, 0, nullptr, 0});

    ParsedArguments parsed;
    // optind = 0 resets getopt_long(). The leading colon makes it return ':' for a missing value.
    optind = 0;
    opterr = 0;
    const int count = static_cast<int>(strings.size());
    int found = 0;
    while ((found = getopt_long(count, argv.data(), ":", longOptions.data(), nullptr)) != -1) {
        const std::string argument = argv[static_cast<std::size_t>(std::max(optind - 1, 0))];
        if (found == ':')
            return boost::leaf::new_error(UsageError{UsageFault::MissingValue, argument});
        if (found == '?')
            return boost::leaf::new_error(UsageError{UsageFault::UnknownOption, argument});
        parsed.options[static_cast<OptionId>(found)] = optarg ? optarg : "";
    }
    for (; optind < count; ++optind)
        parsed.positional.emplace_back(argv[static_cast<std::size_t>(optind)]);
    return parsed;
}

/// Fails with UsageError if there is an option that is not in \a allowed.
Base::Result<void> allowOnly(const ParsedArguments &parsed, const std::vector<OptionId> &allowed)
{
    for (const auto &[id, value] : parsed.options) {
        if (std::find(allowed.begin(), allowed.end(), id) == allowed.end())
            return boost::leaf::new_error(UsageError{UsageFault::UnknownOption, nameOf(id)});
    }
    return {};
}

/// Fails with UsageError if there are more than \a count arguments that are not options.
Base::Result<void> allowPositional(const ParsedArguments &parsed, std::size_t count)
{
    if (parsed.positional.size() > count)
        return boost::leaf::new_error(
            UsageError{UsageFault::UnexpectedArgument, parsed.positional[count]});
    return {};
}

Base::Result<std::string> required(const ParsedArguments &parsed, OptionId id)
{
    const auto it = parsed.options.find(id);
    if (it == parsed.options.end())
        return boost::leaf::new_error(UsageError{UsageFault::MissingOption, nameOf(id)});
    if (it->second.empty())
        return boost::leaf::new_error(UsageError{UsageFault::MissingValue, nameOf(id)});
    return it->second;
}

template <typename Number>
Base::Result<Number> requiredNumber(const ParsedArguments &parsed, OptionId id)
{
    BOOST_LEAF_AUTO(text, required(parsed, id));
    Number number{};
    const char *end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc() || ptr != end)
        return boost::leaf::new_error(UsageError{UsageFault::MalformedValue, nameOf(id)});
    return number;
}

Base::Result<std::string> requiredAddress(const ParsedArguments &parsed)
{
    BOOST_LEAF_AUTO(text, required(parsed, OptionId::Address));
    if (!Settings::parseAddress(text))
        return boost::leaf::new_error(
            UsageError{UsageFault::MalformedValue, nameOf(OptionId::Address)});
    return text;
}

Base::Result<Command> parseServe(const ParsedArguments &parsed)
{
    BOOST_LEAF_CHECK(allowOnly(parsed, {OptionId::Settings}));
    BOOST_LEAF_CHECK(allowPositional(parsed, 1));
    BOOST_LEAF_AUTO(file, required(parsed, OptionId::Settings));
    return ServeCommand{file};
}

Base::Result<Command> parseCheck(const ParsedArguments &parsed)
{
    BOOST_LEAF_CHECK(allowOnly(parsed, {}));
    BOOST_LEAF_CHECK(allowPositional(parsed, 2));
    if (parsed.positional.size() < 2)
        return boost::leaf::new_error(UsageError{UsageFault::MissingArgument, "FILE"});
    return CheckCommand{parsed.positional[1]};
}

Base::Result<Command> parseStatus(const ParsedArguments &parsed)
{
    BOOST_LEAF_CHECK(allowOnly(parsed, {OptionId::Address}));
    BOOST_LEAF_CHECK(allowPositional(parsed, 1));
    BOOST_LEAF_AUTO(address, requiredAddress(parsed));
    return StatusCommand{address};
}

Base::Result<Command> parseSetTarget(const ParsedArguments &parsed)
{
    BOOST_LEAF_CHECK(allowOnly(parsed, {OptionId::Address, OptionId::Class, OptionId::StartWithin,
                                        OptionId::Claim, OptionId::IfMatch}));
    SetTargetCommand command;
    BOOST_LEAF_ASSIGN(command.address, requiredAddress(parsed));
    BOOST_LEAF_AUTO(name, required(parsed, OptionId::Class));
    command.workClass = Base::ClassId(name);
    BOOST_LEAF_AUTO(startWithin, requiredNumber<std::int64_t>(parsed, OptionId::StartWithin));
    command.startWithin = Base::Milliseconds(startWithin);
    BOOST_LEAF_ASSIGN(command.ifMatch,
                      requiredNumber<Settings::ConfigurationVersion>(parsed, OptionId::IfMatch));
    if (parsed.has(OptionId::Claim)) {
        BOOST_LEAF_AUTO(claim, requiredNumber<double>(parsed, OptionId::Claim));
        command.claim = claim;
    }
    return command;
}

Base::Result<Command> parseTargets(const ParsedArguments &parsed)
{
    BOOST_LEAF_CHECK(allowPositional(parsed, 2));
    if (parsed.positional.size() < 2)
        return boost::leaf::new_error(UsageError{UsageFault::MissingArgument, "get|set"});
    if (parsed.positional[1] == "set")
        return parseSetTarget(parsed);
    if (parsed.positional[1] != "get")
        return boost::leaf::new_error(
            UsageError{UsageFault::UnknownCommand, "targets " + parsed.positional[1]});
    BOOST_LEAF_CHECK(allowOnly(parsed, {OptionId::Address}));
    BOOST_LEAF_AUTO(address, requiredAddress(parsed));
    return GetTargetsCommand{address};
}

Base::Result<Command> parseExplain(const ParsedArguments &parsed)
{
    BOOST_LEAF_CHECK(allowOnly(parsed, {}));
    if (parsed.positional.size() < 3)
        return boost::leaf::new_error(UsageError{
            UsageFault::MissingArgument, parsed.positional.size() < 2 ? "REQUEST-ID" : "FILE"});
    return ExplainCommand{parsed.positional[1],
                          {parsed.positional.begin() + 2, parsed.positional.end()}};
}

} // namespace

std::string toString(const UsageError &error)
{
    switch (error.fault) {
    case UsageFault::MissingCommand:
        return "no command";
    case UsageFault::UnknownCommand:
        return "unknown command: " + error.subject;
    case UsageFault::UnknownOption:
        return "unknown or unsupported option: " + error.subject;
    case UsageFault::MissingValue:
        return "option without a value: " + error.subject;
    case UsageFault::MissingOption:
        return "missing option: " + error.subject;
    case UsageFault::MissingArgument:
        return "missing argument: " + error.subject;
    case UsageFault::UnexpectedArgument:
        return "unexpected argument: " + error.subject;
    case UsageFault::MalformedValue:
        return "malformed value of option: " + error.subject;
    }
    return {};
}

const char *usageText()
{
    return "usage: lagoonmast COMMAND [OPTIONS]\n"
           "\n"
           "  serve --settings FILE      run one router until SIGTERM\n"
           "  check FILE                 report every fault of a settings file\n"
           "  targets get --address IP:PORT\n"
           "                             print the targets in force\n"
           "  targets set --address IP:PORT --class NAME --start-within-ms N\n"
           "      [--claim SHARE] --if-match VERSION\n"
           "                             change a class's target, unless it was changed after\n"
           "                             VERSION, the one that \"targets get\" printed\n"
           "  status --address IP:PORT   print the status of a router\n"
           "  explain REQUEST-ID FILE...\n"
           "                             print what gateways' log files say about a request\n"
           "  --help, --version\n"
           "\n"
           "exit status: 0 success, 1 failure, 2 wrong usage\n";
}

Base::Result<Command> parseCommandLine(const std::vector<std::string> &arguments)
{
    BOOST_LEAF_AUTO(parsed, parseOptions(arguments));
    if (parsed.has(OptionId::Help))
        return HelpCommand();
    if (parsed.has(OptionId::Version))
        return VersionCommand();
    if (parsed.positional.empty())
        return boost::leaf::new_error(UsageError{UsageFault::MissingCommand, ""});
    const std::string &name = parsed.positional.front();
    if (name == "serve")
        return parseServe(parsed);
    if (name == "check")
        return parseCheck(parsed);
    if (name == "targets")
        return parseTargets(parsed);
    if (name == "explain")
        return parseExplain(parsed);
    if (name == "status")
        return parseStatus(parsed);
    return boost::leaf::new_error(UsageError{UsageFault::UnknownCommand, name});
}

} // namespace App
