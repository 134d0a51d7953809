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

/// What getopt_long found.
struct Parsed
{
    std::map<OptionId, std::string> options;
    std::vector<std::string> words;

    bool has(OptionId id) const { return options.count(id) > 0; }
};

Base::Result<Parsed> parseOptions(const std::vector<std::string> &arguments)
{
    std::vector<std::string> storage{"lagoonmast"};
    storage.insert(storage.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    for (std::string &text : storage)
        argv.push_back(text.data());
    argv.push_back(nullptr);
    std::vector<option> longOptions;
    for (const OptionName &name : optionNames)
        longOptions.push_back({name.name, name.hasValue, nullptr, static_cast<int>(name.id)});
    longOptions.push_back({nullptr, 0, nullptr, 0});

    Parsed parsed;
    // 0 makes getopt_long start anew; the colon makes it tell a missing value apart.
    optind = 0;
    opterr = 0;
    const int count = static_cast<int>(storage.size());
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
        parsed.words.emplace_back(argv[static_cast<std::size_t>(optind)]);
    return parsed;
}

/// Fails for the first option that the command does not take.
Base::Result<void> allowOnly(const Parsed &parsed, const std::vector<OptionId> &allowed)
{
    for (const auto &[id, value] : parsed.options) {
        if (std::find(allowed.begin(), allowed.end(), id) == allowed.end())
            return boost::leaf::new_error(UsageError{UsageFault::UnknownOption, nameOf(id)});
    }
    return {};
}

Base::Result<void> allowWords(const Parsed &parsed, std::size_t count)
{
    if (parsed.words.size() > count)
        return boost::leaf::new_error(
            UsageError{UsageFault::UnexpectedArgument, parsed.words[count]});
    return {};
}

Base::Result<std::string> required(const Parsed &parsed, OptionId id)
{
    const auto it = parsed.options.find(id);
    if (it == parsed.options.end())
        return boost::leaf::new_error(UsageError{UsageFault::MissingOption, nameOf(id)});
    if (it->second.empty())
        return boost::leaf::new_error(UsageError{UsageFault::MissingValue, nameOf(id)});
    return it->second;
}

template <typename Number>
Base::Result<Number> requiredNumber(const Parsed &parsed, OptionId id)
{
    BOOST_LEAF_AUTO(text, required(parsed, id));
    Number number{};
    const char *end = text.data() + text.size();
    const auto [ptr, ec] = std::from_chars(text.data(), end, number);
    if (ec != std::errc() || ptr != end)
        return boost::leaf::new_error(UsageError{UsageFault::MalformedValue, nameOf(id)});
    return number;
}

Base::Result<std::string> requiredAddress(const Parsed &parsed)
{
    BOOST_LEAF_AUTO(text, required(parsed, OptionId::Address));
    if (!Settings::parseAddress(text))
        return boost::leaf::new_error(
            UsageError{UsageFault::MalformedValue, nameOf(OptionId::Address)});
    return text;
}

Base::Result<Command> parseServe(const Parsed &parsed)
{
    BOOST_LEAF_CHECK(allowOnly(parsed, {OptionId::Settings}));
    BOOST_LEAF_CHECK(allowWords(parsed, 1));
    BOOST_LEAF_AUTO(file, required(parsed, OptionId::Settings));
    return ServeCommand{file};
}

Base::Result<Command> parseCheck(const Parsed &parsed)
{
    BOOST_LEAF_CHECK(allowOnly(parsed, {}));
    BOOST_LEAF_CHECK(allowWords(parsed, 2));
    if (parsed.words.size() < 2)
        return boost::leaf::new_error(UsageError{UsageFault::MissingArgument, "FILE"});
    return CheckCommand{parsed.words[1]};
}

Base::Result<Command> parseStatus(const Parsed &parsed)
{
    BOOST_LEAF_CHECK(allowOnly(parsed, {OptionId::Address}));
    BOOST_LEAF_CHECK(allowWords(parsed, 1));
    BOOST_LEAF_AUTO(address, requiredAddress(parsed));
    return StatusCommand{address};
}

Base::Result<Command> parseSetTarget(const Parsed &parsed)
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

Base::Result<Command> parseTargets(const Parsed &parsed)
{
    BOOST_LEAF_CHECK(allowWords(parsed, 2));
    if (parsed.words.size() < 2)
        return boost::leaf::new_error(UsageError{UsageFault::MissingArgument, "get|set"});
    if (parsed.words[1] == "set")
        return parseSetTarget(parsed);
    if (parsed.words[1] != "get")
        return boost::leaf::new_error(
            UsageError{UsageFault::UnknownCommand, "targets " + parsed.words[1]});
    BOOST_LEAF_CHECK(allowOnly(parsed, {OptionId::Address}));
    BOOST_LEAF_AUTO(address, requiredAddress(parsed));
    return GetTargetsCommand{address};
}

Base::Result<Command> parseExplain(const Parsed &parsed)
{
    BOOST_LEAF_CHECK(allowOnly(parsed, {}));
    if (parsed.words.size() < 3)
        return boost::leaf::new_error(UsageError{UsageFault::MissingArgument,
                                                 parsed.words.size() < 2 ? "REQUEST-ID" : "FILE"});
    return ExplainCommand{parsed.words[1], {parsed.words.begin() + 2, parsed.words.end()}};
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
        return "unknown option here: " + error.subject;
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
           "  check FILE                 tell every fault of a settings file\n"
           "  targets get --address IP:PORT\n"
           "                             print the targets in force\n"
           "  targets set --address IP:PORT --class NAME --start-within-ms N\n"
           "      [--claim SHARE] --if-match VERSION\n"
           "                             change a class's target, unless it was changed after\n"
           "                             VERSION, the one that \"targets get\" printed\n"
           "  status --address IP:PORT   print how a router stands\n"
           "  explain REQUEST-ID FILE...\n"
           "                             print one request's way, from gateways' log files\n"
           "  --help, --version\n"
           "\n"
           "exit status: 0 good, 1 failed, 2 wrong usage\n";
}

Base::Result<Command> parseCommandLine(const std::vector<std::string> &arguments)
{
    BOOST_LEAF_AUTO(parsed, parseOptions(arguments));
    if (parsed.has(OptionId::Help))
        return HelpCommand();
    if (parsed.has(OptionId::Version))
        return VersionCommand();
    if (parsed.words.empty())
        return boost::leaf::new_error(UsageError{UsageFault::MissingCommand, ""});
    const std::string &name = parsed.words.front();
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
