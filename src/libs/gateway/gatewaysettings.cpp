#include "gateway/gatewaysettings.h"

#include "settings/jsonreader.h"
#include "untrusted/jsonbytes.h"

#include <cmath>

namespace Gateway {

namespace {

using Settings::Internal::Json;
using Settings::Internal::ObjectReader;

/// Member that only the settings of a gateway have, not those of a router.
constexpr const char *storeAddressKey = "storeAddress";

constexpr double maxSeconds = 3600;
constexpr double maxMilliseconds = 3600.0 * 1000;
/// Lower limit of a bound: reports between hosts and a slow answer of the store take longer than
/// any shorter one.
constexpr double minBoundMs = 1000;
constexpr double maxRetryRatio = 1;
constexpr double maxCores = 1024;
constexpr double maxRetrySlack = 1e6;
constexpr std::int64_t maxRequestLines = 100'000;
constexpr double maxExposureSlack = 1e6;
constexpr double minMemoryMb = 32;
constexpr double maxMemoryMb = 1e6;
constexpr std::int64_t minFileDescriptors = 100;
constexpr std::int64_t maxFileDescriptors = 10'000'000;
constexpr double bytesPerMb = 1e6;
constexpr std::int64_t minReportBytes = 1000;
constexpr std::int64_t maxReportBytes = 1'000'000'000;

Base::Milliseconds millisecondsOf(double value)
{
    return Base::Milliseconds(std::llround(value));
}

void readBounds(ObjectReader &reader, GatewaySettings &settings)
{
    const double maxAge = reader.number("entryListMaxAgeS", 1, maxSeconds,
                                        static_cast<double>(settings.entryListMaxAge.count()));
    settings.entryListMaxAge = std::chrono::seconds(std::llround(maxAge));
    settings.shutdownGrace =
        millisecondsOf(1000
                       * reader.number("shutdownGraceS", 1, maxSeconds,
                                       static_cast<double>(settings.shutdownGrace.count()) / 1000));
    settings.keyRevocation =
        millisecondsOf(reader.number("keyRevocationMs", 1000, maxMilliseconds,
                                     static_cast<double>(settings.keyRevocation.count())));
    settings.configurationBound =
        millisecondsOf(reader.number("configurationMs", minBoundMs, maxMilliseconds,
                                     static_cast<double>(settings.configurationBound.count())));
    settings.leavingBound =
        millisecondsOf(reader.number("leavingMs", minBoundMs, maxMilliseconds,
                                     static_cast<double>(settings.leavingBound.count())));
    settings.retries.ratio = reader.number("retryRatio", 0, maxRetryRatio, settings.retries.ratio);
    settings.retries.slack = reader.number("retrySlack", 0, maxRetrySlack, settings.retries.slack);
    const double window = reader.number("retryWindowS", 1, maxSeconds, 10);
    settings.retries.window = millisecondsOf(window * 1000);
}

Routing::RolloutBounds readRolloutBounds(ObjectReader &reader)
{
    Routing::RolloutBounds bounds;
    bounds.exposureShare = reader.number("exposureShare", 0, 1, bounds.exposureShare);
    bounds.exposureSlack =
        reader.number("exposureSlack", 0, maxExposureSlack, bounds.exposureSlack);
    bounds.rollBack = millisecondsOf(reader.number("rollBackMs", minBoundMs, maxMilliseconds,
                                                   static_cast<double>(bounds.rollBack.count())));
    return bounds;
}

void readSeeds(ObjectReader &reader, std::vector<std::string> &seeds)
{
    const Json *list = reader.optional("seeds");
    if (!list)
        return;
    if (!list->is_array()) {
        reader.addFault("seeds", "an array", Settings::Internal::describe(*list));
        return;
    }
    for (const Json &it : *list) {
        const auto address = Settings::parseAddress(it.is_string() ? it.get<std::string>() : "");
        if (!address) {
            reader.addFault("seeds", "IP:PORT", Settings::Internal::describe(it));
            continue;
        }
        seeds.push_back(address->ip);
    }
}

void readZoneRegions(ObjectReader &reader, GatewaySettings &settings)
{
    settings.zoneRegions[settings.zone] = settings.region;
    const Json *zones = reader.optional("zoneRegions");
    if (!zones)
        return;
    if (!zones->is_object()) {
        reader.addFault("zoneRegions", "an object", Settings::Internal::describe(*zones));
        return;
    }
    for (const auto &[zone, region] : zones->items()) {
        if (!region.is_string() || zone.empty() || region.get<std::string>().empty()) {
            reader.addFault("zoneRegions", "the name of a region for each zone",
                            Settings::Internal::describe(region));
            continue;
        }
        settings.zoneRegions[Base::ZoneId(zone)] = Base::RegionId(region.get<std::string>());
    }
}

} // namespace

Base::Result<GatewaySettings> GatewaySettings::parse(std::string_view text)
{
    Settings::SettingsFaults faults;
    const std::optional<Json> json = Settings::Internal::parseJson(text, faults);
    if (!json)
        return boost::leaf::new_error(faults);
    GatewaySettings settings;
    ObjectReader reader(*json, Json::json_pointer(), faults);
    settings.host = Base::HostId(reader.name("host"));
    settings.zone = Base::ZoneId(reader.name("zone"));
    settings.region = Base::RegionId(reader.name("region"));
    readZoneRegions(reader, settings);
    settings.callerAddress = reader.address("callerAddress");
    settings.readinessAddress = reader.address("readinessAddress");
    settings.discoveryAddress = reader.address("discoveryAddress");
    settings.peerAddress = reader.address("peerAddress");
    settings.storeAddress = reader.address(storeAddressKey);
    if (reader.optional("metricsAddress"))
        settings.metricsAddress = reader.address("metricsAddress");
    const double cores = reader.number("processorCores", 0, maxCores, 1);
    const double share = reader.number("processorShare", 0, 1, 1);
    settings.processor = static_cast<Routing::MilliCores>(std::llround(1000 * cores * share));
    const double memoryMb = reader.number("memoryMb", minMemoryMb, maxMemoryMb,
                                          static_cast<double>(settings.memoryBytes) / bytesPerMb);
    settings.memoryBytes = static_cast<std::size_t>(memoryMb * bytesPerMb);
    settings.fileDescriptors = static_cast<std::size_t>(
        reader.integer("fileDescriptors", minFileDescriptors, maxFileDescriptors,
                       static_cast<std::int64_t>(settings.fileDescriptors)));
    readSeeds(reader, settings.seeds);
    if (const Json *bounds = reader.optional("bounds")) {
        ObjectReader inner(*bounds, reader.pointerTo("bounds"), faults);
        readBounds(inner, settings);
        inner.finish();
    }
    if (const Json *rollouts = reader.optional("rollouts")) {
        ObjectReader inner(*rollouts, reader.pointerTo("rollouts"), faults);
        settings.rollouts = readRolloutBounds(inner);
        inner.finish();
    }
    if (const Json *log = reader.optional("log")) {
        ObjectReader inner(*log, reader.pointerTo("log"), faults);
        settings.requestLinesPerSecond = static_cast<unsigned>(inner.integer(
            "requestLinesPerSecond", 0, maxRequestLines, settings.requestLinesPerSecond));
        inner.finish();
    }
    settings.reportBytesBetweenRegions = static_cast<std::size_t>(
        reader.integer("reportBytesBetweenRegions", minReportBytes, maxReportBytes,
                       static_cast<std::int64_t>(settings.reportBytesBetweenRegions)));
    reader.finish();
    if (!faults.faults.empty())
        return boost::leaf::new_error(faults);
    return settings;
}

bool GatewaySettings::isGatewayText(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<bool> {
            BOOST_LEAF_AUTO(json, Untrusted::readCommentedJson(text));
            return json.is_object() && json.contains(storeAddressKey);
        },
        [] { return false; });
}

} // namespace Gateway
