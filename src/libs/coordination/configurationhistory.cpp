#include "coordination/configurationhistory.h"

#include <algorithm>

namespace Coordination {

KnownChanges::KnownChanges(std::size_t largestCount)
    : m_largestCount(largestCount)
{}

bool KnownChanges::apply(const Settings::ConfigurationChange &change, ChangeSource source,
                         Base::TimePoint now)
{
    if (!m_configuration.apply(change))
        return false;
    m_changes.push_back({change, source, now});
    if (m_changes.size() > m_largestCount)
        m_changes.pop_front();
    return true;
}

bool KnownChanges::replace(const Settings::Configuration &configuration)
{
    if (configuration.version() <= version())
        return false;
    m_configuration = configuration;
    m_changes.clear();
    return true;
}

const KnownChanges::Known *KnownChanges::next(Settings::ConfigurationVersion version) const
{
    if (m_changes.empty() || version + 1 < m_changes.front().change.version)
        return nullptr;
    const std::size_t at = version + 1 - m_changes.front().change.version;
    return at < m_changes.size() ? &m_changes[at] : nullptr;
}

std::vector<Settings::ConfigurationChange>
KnownChanges::after(Settings::ConfigurationVersion version, std::size_t limit) const
{
    std::vector<Settings::ConfigurationChange> changes;
    while (changes.size() < limit) {
        const Known *known = next(version);
        if (!known)
            return changes;
        changes.push_back(known->change);
        ++version;
    }
    return changes;
}

bool KnownChanges::isToPush(Settings::ConfigurationVersion version, Base::Duration patience,
                            Base::TimePoint now) const
{
    const Known *known = next(version);
    return known && (known->source == ChangeSource::Table || now - known->at >= patience);
}

bool KnownChanges::isChangedAfter(const Base::ClassId &name,
                                  Settings::ConfigurationVersion seen) const
{
    const Settings::VersionedTarget *target = m_configuration.target(name);
    if (target)
        return target->version > seen;
    if (seen < version() && !next(seen))
        return true;
    return std::any_of(m_changes.begin(), m_changes.end(), [&](const Known &known) {
        const auto *removed = std::get_if<Settings::RemoveClass>(&known.change.what);
        return known.change.version > seen && removed && removed->name == name;
    });
}

} // namespace Coordination
