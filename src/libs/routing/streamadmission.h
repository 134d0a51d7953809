#pragma once

#include "base/time.h"
#include "routing/costobserver.h"
#include "routing/decayingsum.h"
#include "routing/entryselection.h"
#include "routing/work.h"

#include <cstddef>
#include <map>

namespace Routing {

/// Decides which streams are admitted by a host that is behind with its own work.
///
/// Callers that stay with one small host may send it several times what its processor can forward.
/// If all streams were admitted, each further one would delay the events of all others, until
/// callers abandon streams that their servers have finished, and new connections are not even
/// accepted. A host counts as behind if it has not been idle for a certain time.
///
/// Each customer then gets its max-min share of the processor. Of a customer's streams, the host
/// admits those with the highest ratio of service to forwarding cost. The cost grows with the
/// number of events, and thus with the generated tokens, while most of the service is reading the
/// prompt. The ratio is compared within one customer: compared over all customers, streams with
/// short prompts and long answers would always be refused.
///
/// If the host falls further behind, it gives only half of its processor to streams. Up to half of
/// its share, a customer then gets any stream admitted, so that it is not left without service
/// because few of its streams are large. Admitting none would not let the host catch up: where the
/// refusals alone use the whole processor, the backlog never ends, and a customer whose callers all
/// stay with this host would get nothing as long as the load lasts. Plain requests are always
/// admitted, since they cost no more than their refusal.
class StreamAdmission
{
public:
    /// \a capacity is the part of the host's processor that this process may use.
    explicit StreamAdmission(MilliCores capacity)
        : m_capacity(capacity)
        , m_cost(capacity)
    {}

    /// Records that no work was left at \a now.
    void recordIdle(Base::TimePoint now);
    /// Records that events of streams were forwarded.
    void recordEvents(std::size_t count);
    /// Records work outside of streams: a plain request, or a request that was refused elsewhere.
    void recordPlainRequest(Base::TimePoint now);
    void recordRefusal(Base::TimePoint now);
    /// Returns the ratio of the actual to the estimated cost of this host's work.
    double costFactor() const { return m_cost.factor(); }
    /// Returns whether the host has not been idle recently: it is not behind yet, but has no
    /// capacity to spare.
    bool isBusy(Base::TimePoint now) const { return now - m_idleAt >= busyAfter; }
    /// Decides whether to admit a new stream, and records the decision.
    bool admitStream(const Work &work, Base::TimePoint now);
    /// Cancels the admission of a stream that is not sent anywhere for another reason. The stream
    /// then costs no more than a refusal.
    void refundStream(const Work &work, Base::TimePoint now);

private:
    /// An event must be forwarded within 120 ms for the strictest callers. A host that keeps up
    /// completes work that arrived at one moment within that time.
    static constexpr Base::Duration busyAfter = std::chrono::milliseconds(60);
    /// The times without an idle moment after which the host counts as behind and as far behind.
    static constexpr Base::Duration selectiveAfter = std::chrono::milliseconds(150);
    static constexpr Base::Duration rationedAfter = std::chrono::milliseconds(500);

    void updateLevels(Base::TimePoint now);
    /// Returns the estimated processor time for forwarding the stream.
    Base::Duration expectedCost(const Work &work) const;
    void refill(Base::TimePoint now);
    void charge(const Work &work);

    MilliCores m_capacity;
    CostObserver m_cost;
    Base::TimePoint m_idleAt{};
    /// The mean ratio of prompt tokens to generated tokens over the streams that each customer
    /// requested.
    std::map<Base::CustomerId, double> m_meanDensities;
    /// The processor time in microseconds of the streams that each customer requested, and of those
    /// that were admitted.
    DecayingSum m_asked;
    DecayingSum m_admitted;
    /// The limits for the recently admitted processor time of one customer, on a host that is
    /// behind and on one that is far behind.
    double m_selectiveLevel = 0;
    double m_rationedLevel = 0;
    Base::TimePoint m_levelsAt = Base::TimePoint::min();
    /// The processor time that may still be promised to streams. It is negative while too much is
    /// promised.
    Base::Duration m_credit{};
    Base::TimePoint m_refilledAt{};
    /// The tokens that the recently admitted streams were allowed to generate, and the events that
    /// were forwarded.
    double m_allowedTokens = 0;
    double m_events = 0;
};

} // namespace Routing
