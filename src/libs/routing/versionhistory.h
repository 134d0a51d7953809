#pragma once

#include "base/time.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// A version of the software that servers of a service run. Versions have no order.
struct ServiceVersion
{
    std::string service;
    std::string softwareVersion;

    auto operator<=>(const ServiceVersion &) const = default;
};

/// The time since servers of a version were last listed.
struct VersionAge
{
    ServiceVersion version;
    Base::Milliseconds age{0};

    bool operator==(const VersionAge &) const = default;
};

/// Remembers which software versions may have begun a stream that is still open.
///
/// These are more than the versions that may get work: servers that leave finish their streams, and
/// a stream's caller may take it up after the last server of its version is gone.
class VersionHistory
{
public:
    /// Sets for how long a version is remembered after its servers were last listed.
    void setMemory(Base::Duration memory) { m_memory = memory; }
    /// Records that servers of \a version were listed at \a seenAt.
    void record(const ServiceVersion &version, Base::TimePoint seenAt);
    /// Returns the remembered versions of \a service.
    std::vector<std::string> versions(const std::string &service, Base::TimePoint now) const;
    /// Returns all remembered versions.
    std::vector<VersionAge> ages(Base::TimePoint now) const;
    /// Returns the services that have several remembered versions.
    std::vector<std::string> mixedServices(Base::TimePoint now) const;
    bool isRemembered(const ServiceVersion &version, Base::TimePoint now) const;
    bool isMixed(const std::string &service, Base::TimePoint now) const
    {
        return versions(service, now).size() > 1;
    }
    /// Forgets what is too old.
    void advance(Base::TimePoint now);

private:
    bool isRemembered(Base::TimePoint seenAt, Base::TimePoint now) const
    {
        return now - seenAt < m_memory;
    }

    Base::Duration m_memory{};
    /// When servers were last listed, by service and version.
    std::map<std::string, std::map<std::string, Base::TimePoint>> m_seenAt;
};

} // namespace Routing
