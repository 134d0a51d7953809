#include "coordination/configurationhistory.h"

#include <algorithm>

namespace Coordination {

ConfigurationHistory::ConfigurationHistory(std::size_t maxChanges)
    : m_maxChanges(maxChanges)
{}

bool ConfigurationHistory::apply(const Settings::ConfigurationChange &change, ChangeSource source,
                                 Base::TimePoint now)
{
    if (!m_configuration.apply(change))
        return false;
    m_changes.push_back({change, source, now});
    if (m_changes.size() > m_maxChanges)
        m_changes.pop_front();
    return true;
}

bool ConfigurationHistory::replace(const Settings::Configuration &configuration)
{
    if (configuration.version() <= version())
        return false;
    m_configuration = configuration;
    m_changes.clear();
    return true;
}

const ConfigurationHistory::Entry *
ConfigurationHistory::entryAfter(Settings::ConfigurationVersion version) const
{
    if (m_changes.empty() || version + 1 < m_changes.front().change.version)
        return nullptr;
    const std::size_t index = version + 1 - m_changes.front().change.version;
    return index < m_changes.size() ? &m_changes[index] : nullptr;
}

std::vector<Settings::ConfigurationChange>
ConfigurationHistory::after(Settings::ConfigurationVersion version, std::size_t limit) const
{
    std::vector<Settings::ConfigurationChange> changes;
    while (changes.size() < limit) {
        const Entry *entry = entryAfter(version);
        if (!entry)
            return changes;
        changes.push_back(entry->change);
        ++version;
    }
    return changes;
}

bool ConfigurationHistory::shouldPush(Settings::ConfigurationVersion version,
                                      Base::Duration relayDelay, Base::TimePoint now) const
{
    const Entry *entry = entryAfter(version);
    return entry && (entry->source == ChangeSource::Table || now - entry->learnedAt >= relayDelay);
}

bool ConfigurationHistory::mayHaveChangedAfter(const Base::ClassId &name,
                                               Settings::ConfigurationVersion seen) const
{
    const Settings::VersionedTarget *target = m_configuration.target(name);
    if (target)
        return target->version > seen;
    if (seen < version() && !entryAfter(seen))
        return true;
    return std::any_of(m_changes.begin(), m_changes.end(), [&](const Entry &entry) {
        const auto *removed = std::get_if<Settings::RemoveClass>(&entry.change.what);
        return entry.change.version > seen && removed && removed->name == name;
    });
}

} // namespace Coordination
