#pragma once

#include "gateway/httpclient.h"
#include "gateway/storeprotocol.h"
#include "routing/rolloutdecision.h"
#include "routing/rolloutorders.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

class EventLog;

/// What the deciding host knows besides the states in the store.
struct RolloutView
{
    std::vector<Routing::RolloutOrder> orders;
    std::vector<Routing::RolloutEvidence> evidence;
    /// The number of usable servers of each version of each service.
    Routing::ServerVersions servers;
};

/// Decides on all roll-outs for the fleet and writes the decisions to the store.
///
/// One host decides at a time (FleetView::isFirstLeader()). Hosts may disagree on which one it is,
/// or wake up after a pause and still believe it: each write is therefore bound to the state that
/// the decision was based on. If it fails, the states are read again. A decision counts only once
/// it is in the store, so that the next host continues from it.
class RolloutDecider
{
public:
    /// Is called with each state that the store holds.
    using StateKnown = std::function<void(const Routing::RolloutState &)>;

    /// The references must outlive the decider.
    RolloutDecider(boost::asio::io_context &io, const Settings::Address &store,
                   const StoreProtocol &protocol, EventLog &log, StateKnown stateKnown);

    /// Decides what is due. Must be called every few tens of milliseconds while this host decides.
    void advance(const RolloutView &view, Base::TimePoint now);
    /// Notes that this host does not decide now.
    void stop();
    /// Whether this host has read the states since it began to decide.
    bool isReady() const { return m_storeTime.has_value(); }

private:
    struct Entry
    {
        Routing::RolloutState state;
        /// Null until the state is in the store.
        std::unique_ptr<Routing::RolloutDecision> decision;
    };

    void readStates(Base::TimePoint now);
    void statesRead(const RolloutReading &reading, Base::TimePoint askedAt);
    /// Begins or withdraws roll-outs as \a view orders it. Returns whether a write was started.
    bool followOrders(const RolloutView &view, Base::TimePoint now);
    void decide(const RolloutView &view, Base::TimePoint now);
    void write(Routing::RolloutState state, std::uint64_t previousRevision, Base::TimePoint now);
    void written(Routing::RolloutState state, const std::optional<HttpAnswer> &answer);
    void logStep(const Routing::RolloutState &state, const Routing::RolloutStep &step,
                 const Routing::RolloutInput &input, Base::TimePoint now);
    Routing::RolloutInput inputOf(const Routing::RolloutState &state,
                                  const RolloutView &view) const;
    Base::Milliseconds storeTime(Base::TimePoint now) const;
    /// Returns the moment of this host's clock at which the store's clock showed \a time.
    Base::TimePoint localTime(Base::Milliseconds time) const;
    void retryLater(Base::TimePoint now);

    const StoreProtocol *m_protocol;
    EventLog *m_log;
    StateKnown m_stateKnown;
    std::shared_ptr<HttpClient> m_client;
    std::map<std::string, Entry> m_entries;
    /// The store's clock at a moment of this host's clock; empty until the states were read.
    std::optional<std::pair<Base::Milliseconds, Base::TimePoint>> m_storeTime;
    Base::TimePoint m_nextCall{};
};

} // namespace Gateway
