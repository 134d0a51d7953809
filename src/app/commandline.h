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

/// Runs one router or gateway.
struct ServeCommand
{
    std::string settingsFile;
};

/// Validates a settings file.
struct CheckCommand
{
    std::string settingsFile;
};

/// Prints the targets in force.
struct GetTargetsCommand
{
    /// "IP:PORT" at which a router serves callers; the same in the commands below.
    std::string address;
};

/// Changes the target of one class.
struct SetTargetCommand
{
    std::string address;
    Base::ClassId workClass;
    Base::Milliseconds startWithin{0};
    /// Claim as given by the operator; the router checks its range.
    std::optional<double> claim;
    /// Version that "targets get" has printed. The router rejects the change if the target was
    /// changed after it.
    Settings::ConfigurationVersion ifMatch = 0;
};

/// Prints the status of a router.
struct StatusCommand
{
    std::string address;
};

/// Prints the lines of log files that concern one request.
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

/// Error: the command line is wrong. \a subject is the faulty or missing option, command or
/// argument.
struct UsageError
{
    UsageFault fault = UsageFault::MissingCommand;
    std::string subject;

    bool operator==(const UsageError &) const = default;
};

/// Returns a message for the operator.
std::string toString(const UsageError &error);
/// Returns the text of --help.
const char *usageText();

/// Parses the arguments after the name of the program. Fails with UsageError.
Base::Result<Command> parseCommandLine(const std::vector<std::string> &arguments);

} // namespace App
