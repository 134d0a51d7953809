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

enum class ExitStatus { Good = 0, Failed = 1, Usage = 2 };

/// The program below main(): reads the command line and does what it asks for.
class Program
{
public:
    /// Runs a router; returns the exit status.
    using Serve = std::function<int(const Daemon::DaemonSettings &)>;
    /// Runs a gateway, the form of the router for deployments whose store has routes and servers.
    using ServeGateway = std::function<int(const Gateway::GatewaySettings &)>;

    /// Errors go to \a err, all else to \a out; both outlive the program.
    Program(std::ostream &out, std::ostream &err, Serve serve, ServeGateway serveGateway = {});

    /// Returns the exit status.
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
