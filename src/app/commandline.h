#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "settings/configuration.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace App {

struct ServeCommand
{
    std::string settingsFile;
};

struct CheckCommand
{
    std::string settingsFile;
};

struct GetTargetsCommand
{
    /// "IP:PORT" that a router serves callers on.
    std::string address;
};

struct SetTargetCommand
{
    std::string address;
    Base::ClassId workClass;
    Base::Milliseconds startWithin{0};
    /// As given; the router checks its range.
    std::optional<double> claim;
    Settings::ConfigurationVersion ifMatch = 0;
};

struct StatusCommand
{
    std::string address;
};

/// What log files say of one request.
struct ExplainCommand
{
    std::string request;
    std::vector<std::string> files;
};

struct HelpCommand
{};

struct VersionCommand
{};

using Command = std::variant<ServeCommand, CheckCommand, GetTargetsCommand, SetTargetCommand,
                             StatusCommand, ExplainCommand, HelpCommand, VersionCommand>;

enum class UsageFault {
    MissingCommand,
    UnknownCommand,
    UnknownOption,
    MissingValue,
    MissingOption,
    MissingArgument,
    UnexpectedArgument,
    MalformedValue,
};

/// The command line is wrong; \a subject is the option, command or argument that is.
struct UsageError
{
    UsageFault fault = UsageFault::MissingCommand;
    std::string subject;

    bool operator==(const UsageError &) const = default;
};

std::string toString(const UsageError &error);
const char *usageText();

/// Reads the arguments after the program's name. Fails with UsageError.
Base::Result<Command> parseCommandLine(const std::vector<std::string> &arguments);

} // namespace App
