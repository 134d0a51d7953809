#pragma once

#include "base/time.h"
#include "settings/configuration.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace Coordination {

/// The source from which a router got a change.
enum class ChangeSource { Table, Peer };

/// A configuration and the last changes that led to it. Its version only grows. The kept changes
/// have consecutive versions.
class ConfigurationHistory
{
public:
    /// Keeps at most \a maxChanges changes.
    explicit ConfigurationHistory(std::size_t maxChanges);

    const Settings::Configuration &configuration() const { return m_configuration; }
    Settings::ConfigurationVersion version() const { return m_configuration.version(); }

    /// Applies the change if its version is the next one. Returns whether it was applied.
    bool apply(const Settings::ConfigurationChange &change, ChangeSource source,
               Base::TimePoint now);
    /// Replaces the configuration by a newer one and drops all kept changes. Returns whether
    /// \a configuration was newer.
    bool replace(const Settings::Configuration &configuration);

    /// Returns up to \a limit changes after \a version in order; empty if the first of them is
    /// not kept.
    std::vector<Settings::ConfigurationChange> after(Settings::ConfigurationVersion version,
                                                     std::size_t limit) const;
    /// Whether the change that follows \a version is kept and was either read from the table or
    /// learned at least \a relayDelay ago.
    bool shouldPush(Settings::ConfigurationVersion version, Base::Duration relayDelay,
                    Base::TimePoint now) const;
    /// Whether the class was set or removed after version \a seen. Also true if the changes that
    /// would show it are no longer kept; the only effect is that the operator has to read the class
    /// again.
    bool mayHaveChangedAfter(const Base::ClassId &name, Settings::ConfigurationVersion seen) const;

private:
    /// A kept change.
    struct Entry
    {
        Settings::ConfigurationChange change;
        ChangeSource source = ChangeSource::Peer;
        Base::TimePoint learnedAt;
    };

    /// Returns the change that follows \a version, or null if it is not kept.
    const Entry *entryAfter(Settings::ConfigurationVersion version) const;

    std::size_t m_maxChanges;
    Settings::Configuration m_configuration;
    std::deque<Entry> m_changes;
};

} // namespace Coordination
