#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/customerratelimiter.h"
#include "routing/decayingsum.h"
#include "routing/fleetload.h"

#include <deque>
#include <map>

namespace Routing {

/// What room a customer's request may have at the servers.
enum class Admission {
    WithinShare,   ///< Its customer is within its max-min share: any server that is not full.
    SpareCapacity, ///< Beyond it: only servers that delay nobody's work.
    Refused,       ///< Beyond it at this host, or others have been served much less.
};

/// Decides how much of a model pool each customer may have.
///
/// Load: a customer sends many times its usual, on some hosts or on all. The pool's throughput is
/// shared out by max-min over the last two seconds and over the whole fleet: who has received less
/// than the share is within it. What is spare beyond it goes to those who ask for more, but not to
/// one that is far ahead of another one that asks for more too. So a flood does not delay the
/// others, and leaves nothing idle.
///
/// The sums over the fleet are late by half a second, and all hosts see them change together. So
/// they decide only how fast each host lets in a customer that asks for more than its level: the
/// part of that level which the host has of what the customer asks for.
class CustomerShares
{
public:
    /// Tokens a second that all servers produce, a generated one counted twice; 0 for no bound.
    void setThroughput(double tokensPerSecond) { m_tokensPerSecond = tokensPerSecond; }
    /// Mean over the servers that may get work now: 0 with spare room, 1 without, 2 without room
    /// for anybody.
    void setCrowding(double crowding) { m_crowding = crowding; }
    /// Outlives this; changes with time.
    void setPeerLoad(const PeerLoad &others) { m_others = &others; }

    void recordDemand(const Base::CustomerId &customer, double tokens, Base::TimePoint now);
    void recordSent(const Base::CustomerId &customer, double tokens, Base::TimePoint now);
    /// A request was placed or may wait here; negative if it was not served after all.
    void recordLetIn(const Base::CustomerId &customer, double tokens, Base::TimePoint now);
    /// The first event of a request came.
    void recordStarted(const Base::CustomerId &customer, double tokens, Base::TimePoint now);
    void report(HostLoad &load, Base::TimePoint now) const;

    Admission admission(const Base::CustomerId &customer, Base::TimePoint now);
    /// Tokens sent to servers for the customer in the last seconds, by all hosts.
    double received(const Base::CustomerId &customer, Base::TimePoint now) const;
    /// Tokens of the last seconds that a customer may have received at most while others ask for
    /// more than they get.
    double shareLevel(Base::TimePoint now);
    /// What the customer that has least, of those that lack service, was served of late; infinite
    /// while nobody does. It bounds what others get.
    double unmetLevel() const { return m_unmetLevel; }

private:
    /// Of what the customer received, that of which the first event came.
    double started(const Base::CustomerId &customer, Base::TimePoint now) const;
    /// Time in which something was asked for, fading as the meters do, of the host that knows
    /// longest.
    double askedSeconds(Base::TimePoint now) const;
    void updateLevels(Base::TimePoint now);
    /// Part by which more is to be let in than servers began of late; below zero where they are
    /// crowded.
    double growth() const;
    /// The level while nobody lacks service, and \a level then.
    double spareLevel(const std::map<Base::CustomerId, double> &asked, double seconds,
                      Base::TimePoint now) const;
    void updateRates(const std::map<Base::CustomerId, double> &asked, double seconds,
                     Base::TimePoint now);
    /// This host's part of what the customer asks for, 0 to 1.
    double ownPart(const Base::CustomerId &customer) const;

    /// What this host was asked for at a moment.
    struct AskedThen
    {
        Base::TimePoint at;
        std::map<Base::CustomerId, double> asked;
    };

    const PeerLoad *m_others = nullptr;
    double m_tokensPerSecond = 0;
    double m_crowding = 0;
    FadingMeter m_asked;
    FadingMeter m_received;
    FadingMeter m_begun;
    /// Seconds, fading as the meters above do, in which something was asked for.
    FadingMeter m_askedSeconds;
    double m_shareLevel = 0;
    /// As long ago as what the others report is old, so that the parts of all hosts add up.
    std::deque<AskedThen> m_askedThen;
    CustomerPacer m_pacer;
    /// What the customer that has least, of those that ask for more, was served: counted from the
    /// first event, since a host that is behind sends work to servers and does not get to the
    /// answers. Counted from the send, others took spare room beside a customer that got a third.
    double m_unmetLevel = 0;
    /// Since when each customer that asks for more than it gets does so.
    std::map<Base::CustomerId, Base::TimePoint> m_unmetSince;
    Base::TimePoint m_updatedAt = Base::TimePoint::min();
};

} // namespace Routing
