#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "coordination/heartbeat.h"
#include "storage/hostlist.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Coordination {

/// Limits of LeavingMarks.
struct LeavingPolicy
{
    /// A mark is fresh until it was sent in this many heartbeats, of which two in a row may be
    /// lost. After that only full heartbeats contain it.
    std::uint32_t freshSendCount = 5;
    /// Largest number of fresh marks in a heartbeat that is not full; those sent least often go
    /// first. Without the limit a rack of thirty hosts that leaves at once would take 68 KB/s.
    std::size_t maxFreshPerHeartbeat = 4;
    /// How long a mark is kept after the platform's list has ceased to contain a start that it
    /// covers. It is longer than any partition after which a stale list could reappear.
    Base::Duration obsoleteRetention = std::chrono::hours(24);
    /// Largest number of marks, which is more than the hosts of a region need during
    /// obsoleteRetention. Above it the mark that has been obsolete longest is dropped.
    std::size_t maxCount = 4096;
};

/// The set of starts of hosts (routers and backend servers) that are leaving.
///
/// It prevents a leaving host from getting new work, which would be cut off when the host goes,
/// because the platform's list flaps, an old list arrives late or a peer that was disconnected
/// still reports the host as live. A mark is therefore never revoked; it is dropped only after
/// the list has shown for obsoleteRetention that the start is over. Obsolete marks are no longer
/// sent in full heartbeats, so that two routers cannot renew a mark for each other forever.
class LeavingMarks
{
public:
    explicit LeavingMarks(const LeavingPolicy &policy = {});

    /// Marks the starts of \a name up to \a incarnation as leaving. Returns whether this is new.
    bool add(const std::string &name, Base::Incarnation incarnation);
    /// Updates which marks are obsolete: those that cover no start in the platform's newest list.
    void reconcile(const Storage::HostListing &listing, Base::TimePoint now);
    /// Drops the marks that have been obsolete for LeavingPolicy::obsoleteRetention.
    void advance(Base::TimePoint now);

    /// Whether this start of the host is leaving.
    bool covers(const std::string &name, Base::Incarnation incarnation) const;
    /// Returns the marks for the next heartbeat and counts them as sent: all that are fresh or in
    /// force if \a isFull, otherwise a few fresh ones.
    std::vector<LeavingMark> takeForHeartbeat(bool isFull);
    std::size_t size() const { return m_marks.size(); }

private:
    struct Mark
    {
        Base::Incarnation incarnation = 0;
        /// Number of heartbeats that have contained the mark.
        std::uint32_t sendCount = 0;
        /// Time since which the list has contained no start that the mark covers.
        std::optional<Base::TimePoint> obsoleteSince;
    };

    /// Drops the mark that has been obsolete longest, if any is obsolete.
    void dropOldest();

    LeavingPolicy m_policy;
    std::map<std::string, Mark> m_marks;
};

} // namespace Coordination
