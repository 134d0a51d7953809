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
    // A directory can be opened; the error occurs only when it is read.
    std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (!in || text.empty())
        return boost::leaf::new_error(UnreadableFile{file});
    return text;
}

Daemon::DaemonSettings daemonSettings(const Settings::ProcessSettings &settings)
{
    Daemon::DaemonSettings converted;
    converted.host = settings.host;
    converted.zone = settings.zone;
    converted.region = settings.region;
    converted.callerAddress = toString(settings.callerAddress);
    converted.peerAddress = toString(settings.peerAddress);
    converted.platformAddress = toString(settings.platformAddress);
    for (const Settings::SeedHost &seed : settings.seeds)
        converted.seeds.push_back({seed.host, toString(seed.peerAddress)});
    converted.limits.connections = settings.limits.connections;
    converted.limits.bodyBytes = settings.limits.bodyBytes;
    converted.limits.memoryBytes = settings.limits.memoryBytes;
    converted.limits.streamBufferBytes = settings.limits.streamBufferBytes;
    converted.logLevel = levelName(settings.logLevel);
    converted.traceFile = settings.traceFile;
    return converted;
}

} // namespace App
