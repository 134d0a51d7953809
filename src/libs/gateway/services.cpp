#include "gateway/services.h"

#include "gateway/boottime.h"

#include <cmath>
#include <optional>

namespace Gateway {

namespace {

/// Ratio of one server's prefill speed to its part of the total throughput. The throughput counts
/// generated tokens twice; a server that only reads prompts is faster by about this factor.
constexpr double prefillFactor = 1.15;

/// Returns the time to transfer the memory of one token between servers, in milliseconds. Empty if
/// the configuration does not state it.
std::optional<double> transferMsPerToken(const Routing::EngineTraits &engine)
{
    if (engine.bytesPerToken == 0 || engine.linkMbps == 0)
        return std::nullopt;
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMsOfMbps = 1000;
    return static_cast<double>(engine.bytesPerToken) * bitsPerByte
           / (static_cast<double>(engine.linkMbps) * bitsPerMsOfMbps);
}

} // namespace

Services::Services(const GatewaySettings &settings, const StoreReplica &replica,
                   const FleetView &fleet)
    : m_host(settings.host)
    , m_zone(settings.zone)
    , m_region(settings.region)
    , m_zoneRegions(settings.zoneRegions)
    , m_retries(settings.retries)
    , m_replica(&replica)
    , m_fleet(&fleet)
{}

Services::Service &Services::service(const std::string &name)
{
    const auto it = m_services.find(name);
    if (it != m_services.end())
        return it->second;
    const auto [added, isNew] =
        m_services.emplace(name, Service{Routing::Dispatcher(traitsOf(name), m_zone, m_host),
                                         Routing::RetryShare(m_retries)});
    added->second.dispatcher.setPeerLoad(m_fleet->others());
    added->second.dispatcher.setNotices(m_notices);
    added->second.dispatcher.setRegions(m_region, m_zoneRegions);
    added->second.dispatcher.setEvacuatedZones(m_replica->evacuatedZones().zones(), bootTimeNow());
    serversRead();
    return added->second;
}

std::size_t Services::waiting() const
{
    std::size_t waiting = 0;
    for (const auto &[name, it] : m_services)
        waiting += it.dispatcher.waiting();
    return waiting;
}

double Services::slowestPace() const
{
    double slowest = 1;
    for (const auto &[name, it] : m_services)
        slowest = std::max(slowest, it.dispatcher.slowestPace());
    return slowest;
}

Routing::ServiceTraits Services::traitsOf(const std::string &name) const
{
    Routing::ServiceTraits traits;
    const std::shared_ptr<const Routing::RouteTable> &table = m_replica->table();
    const Routing::Service *known = table ? table->service(name) : nullptr;
    if (!known)
        return traits;
    traits.warmUp = known->warmUp;
    if (!known->engine)
        return traits;
    traits.isEngine = true;
    traits.memoryTokens = known->engine->memoryTokens;
    traits.transferMsPerToken = transferMsPerToken(*known->engine);
    std::size_t servers = 0;
    for (const auto &[id, server] : m_replica->servers().servers())
        servers += server.service == name ? 1 : 0;
    const auto throughput = static_cast<double>(table->configuration().limits.tokensPerSecond);
    traits.sharedTokensPerSecond = throughput;
    if (servers > 0)
        traits.readTokensPerMs = throughput * prefillFactor / static_cast<double>(servers) / 1000;
    return traits;
}

void Services::configurationChanged()
{
    for (auto &[name, it] : m_services)
        it.dispatcher.setTraits(traitsOf(name));
}

void Services::serversChanged()
{
    // A server's reading speed is its part of the configured throughput, so it depends on the
    // number of servers.
    configurationChanged();
    serversRead();
}

void Services::serversRead()
{
    std::map<std::string, std::vector<Routing::RegisteredServer>> byService;
    for (const auto &[id, server] : m_replica->servers().servers())
        byService[server.service].push_back(server);
    for (auto &[name, it] : m_services) {
        it.dispatcher.setServers(byService[name]);
        for (const Routing::RegisteredServer &server : byService[name])
            it.dispatcher.setWarmUntil(server.id, m_replica->servers().warmUntil(server.id));
    }
}

void Services::evacuationsChanged(Base::TimePoint now)
{
    for (auto &[name, it] : m_services)
        it.dispatcher.setEvacuatedZones(m_replica->evacuatedZones().zones(), now);
}

void Services::retryAllowanceChanged(const Routing::RetryAllowance &allowance)
{
    m_retries = allowance;
    for (auto &[name, it] : m_services)
        it.retries.setAllowance(allowance);
}

void Services::peerLoadChanged()
{
    for (auto &[name, it] : m_services) {
        it.dispatcher.peerLoadChanged();
        const auto use = m_fleet->others().serviceUses.find(name);
        it.dispatcher.setPeerUse(use == m_fleet->others().serviceUses.end() ? Routing::ServiceUse()
                                                                            : use->second);
    }
}

void Services::applyPartUses(const std::vector<Routing::PartUse> &uses, Base::TimePoint now)
{
    for (auto &[name, it] : m_services)
        it.dispatcher.applyPartUses(uses, now);
}

void Services::report(Routing::HostLoad &load, Base::TimePoint now)
{
    for (auto &[name, it] : m_services) {
        it.dispatcher.report(load, now);
        if (const std::optional<Routing::ServiceUse> use = it.dispatcher.use(now))
            load.serviceUses[name] = *use;
    }
}

void Services::fillLevels(LoadSample &sample, Base::TimePoint now)
{
    const auto keepLower = [](std::optional<double> &lowest, double level) {
        // A log line cannot represent infinity.
        const bool isLower = std::isfinite(level) && (!lowest || level < *lowest);
        if (isLower)
            lowest = level;
        return isLower;
    };
    sample.slowestPace = slowestPace();
    for (auto &[name, it] : m_services) {
        if (!traitsOf(name).isEngine)
            continue;
        keepLower(sample.shareLevel, it.dispatcher.shareLevel(now));
        if (keepLower(sample.unmetLevel, it.dispatcher.unmetLevel()))
            sample.unmetCustomer = it.dispatcher.unmetCustomer();
        const auto largest = it.dispatcher.largestCustomer(now);
        if (largest && (!sample.largestCustomer || sample.largestCustomer->asked < largest->asked))
            sample.largestCustomer = largest;
    }
}

void Services::advance(Base::TimePoint now,
                       const std::function<void(const Routing::Decisions &)> &apply)
{
    for (auto &[name, it] : m_services)
        apply(it.dispatcher.advance(now));
}

} // namespace Gateway
