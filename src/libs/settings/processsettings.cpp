#include "settings/processsettings.h"

#include "settings/jsonreader.h"

#include <set>

namespace Settings {

namespace {

using Internal::Json;
using Internal::ObjectReader;

/// Each connection has a thread with 128 KiB of stack, so the stacks take 4 GiB at most.
constexpr std::int64_t maxConnections = 32768;
/// Limits of body and buffer sizes, in bytes.
constexpr std::int64_t minBodyBytes = 1024;
constexpr std::int64_t maxBodyBytes = 64LL << 20;
constexpr std::int64_t minStreamBufferBytes = 4096;
constexpr std::int64_t maxStreamBufferBytes = 16LL << 20;
constexpr std::int64_t minMemoryMb = 64;
constexpr std::int64_t maxMemoryMb = 1'000'000;
constexpr std::size_t bytesPerMb = 1'000'000;

/// Calls \a read with a reader of the object \a member, which is at \a key in \a reader. Does
/// nothing if \a member is null.
template <typename Read>
void readObject(ObjectReader &reader, const Json *member, const std::string &key,
                SettingsFaults &faults, Read read)
{
    if (!member)
        return;
    ObjectReader inner(*member, reader.pointerTo(key), faults);
    read(inner);
    inner.finish();
}

std::size_t readLimit(ObjectReader &reader, const std::string &key, std::int64_t min,
                      std::int64_t max, std::size_t defaultValue)
{
    return static_cast<std::size_t>(
        reader.integer(key, min, max, static_cast<std::int64_t>(defaultValue)));
}

void readLimits(ObjectReader &reader, ProcessLimits &limits)
{
    limits.connections = readLimit(reader, "connections", 1, maxConnections, limits.connections);
    limits.bodyBytes = readLimit(reader, "bodyBytes", minBodyBytes, maxBodyBytes, limits.bodyBytes);
    limits.streamBufferBytes = readLimit(reader, "streamBufferBytes", minStreamBufferBytes,
                                         maxStreamBufferBytes, limits.streamBufferBytes);
    limits.memoryBytes =
        bytesPerMb
        * readLimit(reader, "memoryMb", minMemoryMb, maxMemoryMb, limits.memoryBytes / bytesPerMb);
}

void readSeeds(ObjectReader &reader, std::vector<SeedHost> &seeds, SettingsFaults &faults)
{
    const Json *list = reader.optional("seeds");
    if (!list)
        return;
    if (!list->is_array()) {
        reader.addFault("seeds", "an array", Internal::describe(*list));
        return;
    }
    std::set<std::string> seen;
    for (std::size_t i = 0; i < list->size(); ++i) {
        ObjectReader inner((*list)[i], reader.pointerTo("seeds") / i, faults);
        const std::string host = inner.name("host");
        seeds.push_back({Base::HostId(host), inner.address("peerAddress")});
        if (!host.empty() && !seen.insert(host).second)
            inner.addFault("host", "each host once", host + " a second time");
        inner.finish();
    }
}

void readTrace(ObjectReader &reader, std::string &file)
{
    const Json *member = reader.optional("file");
    if (!member)
        return;
    if (member->is_string())
        file = member->get<std::string>();
    else
        reader.addFault("file", "a path, or an empty text for none", Internal::describe(*member));
}

} // namespace

Base::Result<ProcessSettings> ProcessSettings::parse(std::string_view text)
{
    SettingsFaults faults;
    const std::optional<Json> json = Internal::parseJson(text, faults);
    if (!json)
        return boost::leaf::new_error(faults);

    ProcessSettings settings;
    ObjectReader reader(*json, Json::json_pointer(), faults);
    settings.host = Base::HostId(reader.name("host"));
    settings.zone = Base::ZoneId(reader.name("zone"));
    settings.region = Base::RegionId(reader.name("region"));
    settings.callerAddress = reader.address("callerAddress");
    settings.peerAddress = reader.address("peerAddress");
    if (settings.callerAddress.port != 0 && settings.callerAddress == settings.peerAddress)
        reader.addFault("peerAddress", "another address than callerAddress",
                        toString(settings.peerAddress));
    readObject(reader, reader.required("platform", "an object"), "platform", faults,
               [&](ObjectReader &inner) { settings.platformAddress = inner.address("address"); });
    readSeeds(reader, settings.seeds, faults);
    readObject(reader, reader.optional("limits"), "limits", faults,
               [&](ObjectReader &inner) { readLimits(inner, settings.limits); });
    readObject(reader, reader.optional("log"), "log", faults, [&](ObjectReader &inner) {
        const std::size_t level = inner.choice("level", {"debug", "info", "warn", "error"},
                                               static_cast<std::size_t>(settings.logLevel));
        settings.logLevel = static_cast<LogLevel>(level);
    });
    readObject(reader, reader.optional("trace"), "trace", faults,
               [&](ObjectReader &inner) { readTrace(inner, settings.traceFile); });
    reader.finish();
    if (!faults.faults.empty())
        return boost::leaf::new_error(faults);
    return settings;
}

} // namespace Settings
