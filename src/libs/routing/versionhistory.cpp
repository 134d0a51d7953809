#include "routing/versionhistory.h"

#include <algorithm>
#include <utility>

namespace Routing {

void VersionHistory::record(const ServiceVersion &version, Base::TimePoint seenAt)
{
    const auto [it, isNew] = m_seenAt[version.service].try_emplace(version.softwareVersion, seenAt);
    it->second = std::max(it->second, seenAt);
}

std::vector<std::string> VersionHistory::versions(const std::string &service,
                                                  Base::TimePoint now) const
{
    std::vector<std::string> versions;
    const auto ofService = m_seenAt.find(service);
    if (ofService == m_seenAt.end())
        return versions;
    for (const auto &[version, seenAt] : ofService->second) {
        if (isRemembered(seenAt, now))
            versions.push_back(version);
    }
    return versions;
}

std::vector<VersionAge> VersionHistory::ages(Base::TimePoint now) const
{
    std::vector<VersionAge> ages;
    for (const auto &[service, ofService] : m_seenAt) {
        for (const auto &[version, seenAt] : ofService) {
            if (!isRemembered(seenAt, now))
                continue;
            const Base::Duration age = std::max(Base::Duration::zero(), now - seenAt);
            ages.push_back({{service, version}, std::chrono::floor<Base::Milliseconds>(age)});
        }
    }
    return ages;
}

std::vector<std::string> VersionHistory::mixedServices(Base::TimePoint now) const
{
    std::vector<std::string> services;
    for (const auto &[service, ofService] : m_seenAt) {
        if (isMixed(service, now))
            services.push_back(service);
    }
    return services;
}

bool VersionHistory::isRemembered(const ServiceVersion &version, Base::TimePoint now) const
{
    const auto ofService = m_seenAt.find(version.service);
    if (ofService == m_seenAt.end())
        return false;
    const auto it = ofService->second.find(version.softwareVersion);
    return it != ofService->second.end() && isRemembered(it->second, now);
}

void VersionHistory::advance(Base::TimePoint now)
{
    for (auto &[service, ofService] : m_seenAt)
        std::erase_if(ofService, [&](const auto &it) { return !isRemembered(it.second, now); });
    std::erase_if(m_seenAt, [](const auto &it) { return it.second.empty(); });
}

} // namespace Routing
