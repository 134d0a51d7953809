#include "serve.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstring>
#include <fstream>

namespace {

using Json = nlohmann::json;

Daemon::DaemonSettings readSettings(const Json &json)
{
    Daemon::DaemonSettings settings;
    settings.host = Base::HostId(json.value("host", ""));
    settings.zone = Base::ZoneId(json.value("zone", ""));
    settings.region = Base::RegionId(json.value("region", ""));
    settings.callerAddress = json.value("callerAddress", "");
    settings.peerAddress = json.value("peerAddress", "");
    settings.platformAddress = json.value("/platform/address"_json_pointer, "");
    for (const Json &seed : json.value("seeds", Json::array()))
        settings.seeds.push_back(
            {Base::HostId(seed.value("host", "")), seed.value("peerAddress", "")});
    Daemon::DaemonLimits &limits = settings.limits;
    limits.connections = json.value("/limits/connections"_json_pointer, limits.connections);
    limits.bodyBytes = json.value("/limits/bodyBytes"_json_pointer, limits.bodyBytes);
    limits.streamBufferBytes =
        json.value("/limits/streamBufferBytes"_json_pointer, limits.streamBufferBytes);
    settings.logLevel = json.value("/log/level"_json_pointer, settings.logLevel);
    settings.traceFile = json.value("/trace/file"_json_pointer, settings.traceFile);
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    const bool isServe =
        argc == 4 && !std::strcmp(argv[1], "serve") && !std::strcmp(argv[2], "--settings");
    if (!isServe) {
        std::fputs("usage: lagoonmast serve --settings FILE\n", stderr);
        return 2;
    }
    std::ifstream file(argv[3]);
    const Json json = Json::parse(file, nullptr, false);
    if (!json.is_object()) {
        std::fputs("lagoonmast: cannot read the settings\n", stderr);
        return 1;
    }
    return serve(readSettings(json));
}
