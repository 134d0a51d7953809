#pragma once

#include "commandline.h"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace Daemon {
struct DaemonSettings;
}
namespace Gateway {
struct GatewaySettings;
}

namespace App {

/// Exit status of the process.
enum class ExitStatus { Success = 0, Failed = 1, Usage = 2 };

/// The program without main(): parses the command line and executes the command.
class Program
{
public:
    /// Runs a router and returns the exit status.
    using Serve = std::function<int(const Daemon::DaemonSettings &)>;
    /// Runs a gateway, which is the variant of the router for deployments whose store contains the
    /// routes and servers. Returns the exit status.
    using ServeGateway = std::function<int(const Gateway::GatewaySettings &)>;

    /// Errors are written to \a err, all other output to \a out. Both must outlive the program.
    Program(std::ostream &out, std::ostream &err, Serve serve, ServeGateway serveGateway = {});

    /// Executes the command in \a arguments, which exclude the name of the program. Returns the
    /// exit status.
    int run(const std::vector<std::string> &arguments);

private:
    Base::Result<ExitStatus> runCommand(const std::vector<std::string> &arguments);
    Base::Result<ExitStatus> execute(const ServeCommand &command);
    Base::Result<ExitStatus> execute(const CheckCommand &command);
    Base::Result<ExitStatus> execute(const GetTargetsCommand &command);
    Base::Result<ExitStatus> execute(const SetTargetCommand &command);
    Base::Result<ExitStatus> execute(const StatusCommand &command);
    Base::Result<ExitStatus> execute(const ExplainCommand &command);
    Base::Result<ExitStatus> execute(const HelpCommand &command);
    Base::Result<ExitStatus> execute(const VersionCommand &command);

    std::ostream *m_out;
    std::ostream *m_err;
    Serve m_serve;
    ServeGateway m_serveGateway;
};

} // namespace App
