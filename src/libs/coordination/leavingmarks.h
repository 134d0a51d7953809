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

struct LeavingPolicy
{
    /// A mark is young until it was told in this many heartbeats, of which two in a row may be
    /// lost; then it is told in full ones only.
    std::uint32_t youngTells = 5;
    /// Young marks in one heartbeat, the least told first. A rack of thirty that leaves at once
    /// would else take 68 KB a second.
    std::size_t largestTold = 4;
    /// How long a mark is kept once the platform's list has moved past it. Longer than any
    /// partition after which a stale list could come back.
    Base::Duration keepObsolete = std::chrono::hours(24);
    /// More than a region's hosts can need in keepObsolete; the oldest obsolete mark goes first.
    std::size_t largestCount = 4096;
};

/// Which starts of which hosts (routers and backend servers) are leaving.
///
/// Failure it stops: a host that leaves gets new work again because a list flaps, an old list
/// comes late, or a peer that was cut off still calls it live. It shows as work cut off when
/// the host goes. The guard holds because a mark for a start is never taken back, only dropped
/// when the list has shown for a day that the start is over; and because a mark whose start is
/// over is no longer told to others, two routers cannot keep it alive between them.
class LeavingMarks
{
public:
    explicit LeavingMarks(const LeavingPolicy &policy = {});

    /// Returns whether this was new.
    bool add(const std::string &name, Base::Incarnation incarnation);
    /// Notes which marks the platform's newest list still needs.
    void reconcile(const Storage::HostListing &listing, Base::TimePoint now);
    void advance(Base::TimePoint now);

    bool covers(const std::string &name, Base::Incarnation incarnation) const;
    /// Marks to tell others in the next heartbeat: all that are in force, or a few young ones.
    std::vector<LeavingMark> takeTold(bool isFull);
    std::size_t size() const { return m_marks.size(); }

private:
    struct Mark
    {
        Base::Incarnation incarnation = 0;
        std::uint32_t told = 0;
        /// Since when the list has had no start that the mark covers.
        std::optional<Base::TimePoint> obsoleteSince;
    };

    void dropOldest();

    LeavingPolicy m_policy;
    std::map<std::string, Mark> m_marks;
};

} // namespace Coordination
