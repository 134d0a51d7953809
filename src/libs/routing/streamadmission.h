#pragma once

#include "base/time.h"
#include "routing/costobserver.h"
#include "routing/decayingsum.h"
#include "routing/entryselection.h"
#include "routing/work.h"

#include <cstddef>
#include <map>

namespace Routing {

/// Decides which streams a host takes that is behind with its own work.
///
/// Load: callers that stay with one small host bring it several times what its processor can
/// forward. Taken in, each further stream delays the events of all, until callers leave streams
/// that their servers have finished, and new callers are not even accepted. A host is behind while
/// it has not been idle for a moment in some time.
///
/// Then each customer has its max-min part of the processor. Of a customer's streams it takes those
/// that serve most for what forwarding them costs: that cost grows with the events, and so with the
/// generated tokens, while most of what a customer is served is the prompt that is read for it.
/// Compared over all customers, one with short prompts and long answers would always be the one
/// that is passed over.
///
/// If it falls further behind, only half of its processor is shared out so. Up to half of its part
/// any stream of a customer is taken, so that none gets nothing because few of its streams are
/// large.
/// Taking none would not let it catch up: where the refusals alone fill the processor, the backlog
/// never ends, and a customer whose callers all stay with this host would get nothing for as long
/// as its load lasts. Plain requests cost no more than their refusal.
class StreamAdmission
{
public:
    /// \a capacity is what this process may use of the host's processor.
    explicit StreamAdmission(MilliCores capacity)
        : m_capacity(capacity)
        , m_cost(capacity)
    {}

    /// Nothing was left to do at \a now.
    void recordIdle(Base::TimePoint now);
    /// Events of streams were forwarded.
    void recordEvents(std::size_t count);
    /// Work that no stream is part of: a plain request, and one that was turned away otherwise.
    void recordPlainRequest(Base::TimePoint now);
    void recordRefusal(Base::TimePoint now);
    /// How many times longer than reckoned this host's work takes.
    double costFactor() const { return m_cost.factor(); }
    /// Whether there has been no pause for a moment: not yet behind, but nothing to spare.
    bool isBusy(Base::TimePoint now) const { return now - m_idleAt >= busyAfter; }
    /// Whether a stream that has just come in is taken.
    bool admitStream(const Work &work, Base::TimePoint now);
    /// A stream that was taken is not sent anywhere, for another reason: it takes no more than a
    /// refusal.
    void refundStream(const Work &work, Base::TimePoint now);

private:
    /// A streamed event is to be passed on within 120 ms where callers are strictest; work that
    /// came at one moment is done within that time on a host that keeps up.
    static constexpr Base::Duration busyAfter = std::chrono::milliseconds(60);
    static constexpr Base::Duration choosyAfter = std::chrono::milliseconds(150);
    static constexpr Base::Duration rationedAfter = std::chrono::milliseconds(500);

    void updateLevels(Base::TimePoint now);
    /// Processor time that forwarding the stream will take, as reckoned.
    Base::Duration expectedCost(const Work &work) const;
    void refill(Base::TimePoint now);
    void charge(const Work &work);

    MilliCores m_capacity;
    CostObserver m_cost;
    Base::TimePoint m_idleAt{};
    /// Prompt tokens for each generated one, mean of the streams of each customer that came in.
    std::map<Base::CustomerId, double> m_usualDensities;
    /// Processor time, in microseconds, of the streams of each customer that came in, and of those
    /// that were taken.
    FadingMeter m_asked;
    FadingMeter m_taken;
    /// What a customer may have taken of the last seconds on a host that is behind, and on one that
    /// is far behind.
    double m_choosyLevel = 0;
    double m_rationedLevel = 0;
    Base::TimePoint m_levelAt = Base::TimePoint::min();
    /// Processor time that may still be promised to streams; below zero while too much is.
    Base::Duration m_credit{};
    Base::TimePoint m_refilledAt{};
    /// Of the last streams taken: tokens that they were allowed, and events that were forwarded.
    double m_allowedTokens = 0;
    double m_events = 0;
};

} // namespace Routing
