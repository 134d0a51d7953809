#include "settingsfile.h"

#include <fstream>
#include <iterator>

namespace App {

namespace {

std::string levelName(Settings::LogLevel level)
{
    switch (level) {
    case Settings::LogLevel::Debug:
        return "debug";
    case Settings::LogLevel::Info:
        return "info";
    case Settings::LogLevel::Warn:
        return "warn";
    case Settings::LogLevel::Error:
        return "error";
    }
    return "info";
}

} // namespace

Base::Result<std::string> readFile(const std::string &file)
{
    std::ifstream in(file);
    // A folder can be opened and shows only when it is read.
    std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (!in || text.empty())
        return boost::leaf::new_error(UnreadableFile{file});
    return text;
}

Daemon::DaemonSettings daemonSettings(const Settings::ProcessSettings &settings)
{
    Daemon::DaemonSettings to;
    to.host = settings.host;
    to.zone = settings.zone;
    to.region = settings.region;
    to.callerAddress = toString(settings.callerAddress);
    to.peerAddress = toString(settings.peerAddress);
    to.platformAddress = toString(settings.platformAddress);
    for (const Settings::SeedHost &seed : settings.seeds)
        to.seeds.push_back({seed.host, toString(seed.peerAddress)});
    to.limits.connections = settings.limits.connections;
    to.limits.bodyBytes = settings.limits.bodyBytes;
    to.limits.streamBufferBytes = settings.limits.streamBufferBytes;
    to.logLevel = levelName(settings.logLevel);
    to.traceFile = settings.traceFile;
    return to;
}

} // namespace App
