#pragma once

#include "base/time.h"

#include <cstddef>

namespace Gateway {

/// Limits what this host reports to hosts in other regions. All traffic between two regions shares
/// one slow link, so that reports must not take more than a small part of it.
///
/// A host that is silent for too long is taken for dead. One report in each maxSilence is therefore
/// sent whatever it costs; what it takes beyond the limit is made up for by the following ones.
class RegionLinkBudget
{
public:
    /// Sets the bytes per second that all hosts of this region may report to other regions, and
    /// the number of hosts of this region that do.
    void setLimit(std::size_t bytesPerSecond, std::size_t senders);
    /// Returns whether a report to other regions may be sent now.
    bool isDue(Base::TimePoint now);
    /// Records a report that was sent. \a bytes is its size times the number of its receivers.
    void recordSent(std::size_t bytes, Base::TimePoint now);

    /// The longest time between two reports to other regions.
    static constexpr Base::Duration maxSilence = std::chrono::milliseconds(600);

private:
    void refill(Base::TimePoint now);

    double m_bytesPerSecond = 0;
    /// Negative while earlier reports have used more than was due.
    double m_balance = 0;
    Base::TimePoint m_refilledAt = Base::TimePoint::min();
    Base::TimePoint m_sentAt = Base::TimePoint::min();
};

} // namespace Gateway
