#include "program.h"

#include "explain.h"
#include "gateway/gatewaysettings.h"
#include "operatorclient.h"
#include "settingsfile.h"
#include "version.h"

#include <ostream>
#include <utility>

namespace App {

namespace {

constexpr char errorPrefix[] = "lagoonmast: ";

/// Prints a successful answer to \a out and any other answer to \a err.
ExitStatus printAnswer(const OperatorAnswer &answer, std::ostream &out, std::ostream &err)
{
    if (answer.isSuccess()) {
        out << answer.body << '\n';
        return ExitStatus::Success;
    }
    err << errorPrefix << "the router answered " << answer.status << ": " << answer.body << '\n';
    return ExitStatus::Failed;
}

} // namespace

Program::Program(std::ostream &out, std::ostream &err, Serve serve, ServeGateway serveGateway)
    : m_out(&out)
    , m_err(&err)
    , m_serve(std::move(serve))
    , m_serveGateway(std::move(serveGateway))
{}

int Program::run(const std::vector<std::string> &arguments)
{
    const ExitStatus status = boost::leaf::try_handle_all(
        [&] { return runCommand(arguments); },
        [this](const UsageError &error) {
            *m_err << errorPrefix << toString(error) << "\n\n" << usageText();
            return ExitStatus::Usage;
        },
        [this](const UnreadableFile &error) {
            *m_err << errorPrefix << "cannot read " << error.file << '\n';
            return ExitStatus::Failed;
        },
        [this](const Settings::SettingsFaults &found) {
            for (const Settings::SettingsFault &fault : found.faults)
                *m_err << toString(fault) << '\n';
            return ExitStatus::Failed;
        },
        [this](const NoAnswer &error) {
            *m_err << errorPrefix << "no answer from " << error.address << '\n';
            return ExitStatus::Failed;
        },
        [this] {
            *m_err << errorPrefix << "unexpected error\n";
            return ExitStatus::Failed;
        });
    return static_cast<int>(status);
}

Base::Result<ExitStatus> Program::runCommand(const std::vector<std::string> &arguments)
{
    BOOST_LEAF_AUTO(command, parseCommandLine(arguments));
    return std::visit([this](const auto &it) { return execute(it); }, command);
}

Base::Result<ExitStatus> Program::execute(const ServeCommand &command)
{
    BOOST_LEAF_AUTO(text, readFile(command.settingsFile));
    if (Gateway::GatewaySettings::isGatewayText(text)) {
        BOOST_LEAF_AUTO(gateway, Gateway::GatewaySettings::parse(text));
        gateway.file = command.settingsFile;
        return m_serveGateway(gateway) == 0 ? ExitStatus::Success : ExitStatus::Failed;
    }
    BOOST_LEAF_AUTO(settings, Settings::ProcessSettings::parse(text));
    return m_serve(daemonSettings(settings)) == 0 ? ExitStatus::Success : ExitStatus::Failed;
}

Base::Result<ExitStatus> Program::execute(const CheckCommand &command)
{
    BOOST_LEAF_AUTO(text, readFile(command.settingsFile));
    Base::HostId host;
    if (Gateway::GatewaySettings::isGatewayText(text)) {
        BOOST_LEAF_AUTO(gateway, Gateway::GatewaySettings::parse(text));
        host = gateway.host;
    } else {
        BOOST_LEAF_AUTO(settings, Settings::ProcessSettings::parse(text));
        host = settings.host;
    }
    *m_out << command.settingsFile << ": valid, host " << host.value() << '\n';
    return ExitStatus::Success;
}

Base::Result<ExitStatus> Program::execute(const GetTargetsCommand &command)
{
    BOOST_LEAF_AUTO(answer, OperatorClient(command.address).targets());
    return printAnswer(answer, *m_out, *m_err);
}

Base::Result<ExitStatus> Program::execute(const SetTargetCommand &command)
{
    BOOST_LEAF_AUTO(answer, OperatorClient(command.address).setTarget(command));
    return printAnswer(answer, *m_out, *m_err);
}

Base::Result<ExitStatus> Program::execute(const StatusCommand &command)
{
    BOOST_LEAF_AUTO(answer, OperatorClient(command.address).status());
    return printAnswer(answer, *m_out, *m_err);
}

Base::Result<ExitStatus> Program::execute(const ExplainCommand &command)
{
    BOOST_LEAF_AUTO(lines, explainRequest(command.request, command.files));
    if (lines.empty()) {
        *m_err << errorPrefix << "no log line of request " << command.request << '\n';
        return ExitStatus::Failed;
    }
    for (const std::string &line : lines)
        *m_out << line << '\n';
    return ExitStatus::Success;
}

Base::Result<ExitStatus> Program::execute(const HelpCommand &)
{
    *m_out << usageText();
    return ExitStatus::Success;
}

Base::Result<ExitStatus> Program::execute(const VersionCommand &)
{
    *m_out << "lagoonmast " << versionText << '\n';
    return ExitStatus::Success;
}

} // namespace App
