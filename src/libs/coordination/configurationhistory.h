#pragma once

#include "base/time.h"
#include "settings/configuration.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace Coordination {

/// Where a change was learned from.
enum class ChangeSource { Table, Peer };

/// A configuration with the last changes that led to it. Versions only grow, without gaps.
class KnownChanges
{
public:
    explicit KnownChanges(std::size_t largestCount);

    const Settings::Configuration &configuration() const { return m_configuration; }
    Settings::ConfigurationVersion version() const { return m_configuration.version(); }

    /// Applies the change if it is the next one; returns whether it did.
    bool apply(const Settings::ConfigurationChange &change, ChangeSource source,
               Base::TimePoint now);
    /// Takes the whole if it is newer; returns whether it did.
    bool replace(const Settings::Configuration &configuration);

    /// Changes after \a version in order; empty if they are not all kept.
    std::vector<Settings::ConfigurationChange> after(Settings::ConfigurationVersion version,
                                                     std::size_t limit) const;
    /// Whether the change next to \a version is kept, and either from the table or older than
    /// \a patience.
    bool isToPush(Settings::ConfigurationVersion version, Base::Duration patience,
                  Base::TimePoint now) const;
    /// Whether the class was set or removed after version \a seen. True too if that cannot be
    /// told any more: the operator reads again and loses nothing.
    bool isChangedAfter(const Base::ClassId &name, Settings::ConfigurationVersion seen) const;

private:
    struct Known
    {
        Settings::ConfigurationChange change;
        ChangeSource source = ChangeSource::Peer;
        Base::TimePoint at;
    };

    const Known *next(Settings::ConfigurationVersion version) const;

    std::size_t m_largestCount;
    Settings::Configuration m_configuration;
    std::deque<Known> m_changes;
};

} // namespace Coordination
