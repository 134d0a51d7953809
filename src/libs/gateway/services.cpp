#include "gateway/services.h"

#include <cmath>
#include <optional>

namespace Gateway {

namespace {

/// One server's reading speed over its part of the whole throughput. The throughput counts what
/// is generated twice; a server that only reads is about this much faster.
constexpr double readingFactor = 1.15;

/// Empty if the configuration does not tell what moving the memory of a token takes.
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
    : m_zone(settings.zone)
    , m_retries(settings.retries)
    , m_replica(&replica)
    , m_fleet(&fleet)
{}

Services::Service &Services::service(const std::string &name)
{
    const auto it = m_services.find(name);
    if (it != m_services.end())
        return it->second;
    const auto [added, isNew] = m_services.emplace(
        name, Service{Routing::Dispatcher(traitsOf(name), m_zone), Routing::RetryShare(m_retries)});
    added->second.dispatcher.setPeerLoad(m_fleet->others());
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

Routing::ServiceTraits Services::traitsOf(const std::string &name) const
{
    Routing::ServiceTraits traits;
    const std::shared_ptr<const Routing::RouteTable> &table = m_replica->table();
    const Routing::Service *known = table ? table->service(name) : nullptr;
    if (!known || !known->engine)
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
        traits.readTokensPerMs = throughput * readingFactor / static_cast<double>(servers) / 1000;
    return traits;
}

void Services::configurationChanged()
{
    for (auto &[name, it] : m_services)
        it.dispatcher.setTraits(traitsOf(name));
}

void Services::serversChanged()
{
    // What one server reads is its part of the configured throughput.
    configurationChanged();
    serversRead();
}

void Services::serversRead()
{
    std::map<std::string, std::vector<Routing::RegisteredServer>> byService;
    for (const auto &[id, server] : m_replica->servers().servers())
        byService[server.service].push_back(server);
    for (auto &[name, it] : m_services)
        it.dispatcher.setServers(byService[name]);
}

void Services::retryAllowanceChanged(const Routing::RetryAllowance &allowance)
{
    m_retries = allowance;
    for (auto &[name, it] : m_services)
        it.retries.setAllowance(allowance);
}

void Services::peerLoadChanged()
{
    for (auto &[name, it] : m_services)
        it.dispatcher.peerLoadChanged();
}

void Services::applyPartUses(const std::vector<Routing::PartUse> &uses, Base::TimePoint now)
{
    for (auto &[name, it] : m_services)
        it.dispatcher.applyPartUses(uses, now);
}

void Services::report(Routing::HostLoad &load, Base::TimePoint now)
{
    for (auto &[name, it] : m_services)
        it.dispatcher.report(load, now);
}

void Services::showLevels(LoadFigures &figures, Base::TimePoint now)
{
    const auto takeLower = [](std::optional<double> &lowest, double level) {
        // A log line has no way to write infinity.
        if (std::isfinite(level) && (!lowest || level < *lowest))
            lowest = level;
    };
    for (auto &[name, it] : m_services) {
        if (!traitsOf(name).isEngine)
            continue;
        takeLower(figures.shareLevel, it.dispatcher.shareLevel(now));
        takeLower(figures.unmetLevel, it.dispatcher.unmetLevel());
    }
}

void Services::advance(Base::TimePoint now,
                       const std::function<void(const Routing::Decisions &)> &apply)
{
    for (auto &[name, it] : m_services)
        apply(it.dispatcher.advance(now));
}

} // namespace Gateway
