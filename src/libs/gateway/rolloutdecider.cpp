#include "gateway/rolloutdecider.h"

#include "gateway/boottime.h"
#include "gateway/eventlog.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using std::chrono::milliseconds;

constexpr Base::Duration callTimeout = milliseconds(1000);
/// The pause after a call that failed. Decisions wait meanwhile, and hosts stop sending requests to
/// new versions by themselves.
constexpr Base::Duration retryPause = milliseconds(400);

} // namespace

RolloutDecider::RolloutDecider(boost::asio::io_context &io, const Settings::Address &store,
                               const StoreProtocol &protocol, EventLog &log, StateKnown stateKnown)
    : m_protocol(&protocol)
    , m_log(&log)
    , m_stateKnown(std::move(stateKnown))
    , m_client(std::make_shared<HttpClient>(io, store))
{}

void RolloutDecider::stop()
{
    m_storeTime.reset();
    m_entries.clear();
}

void RolloutDecider::advance(const RolloutView &view, Base::TimePoint now)
{
    m_client->checkTime(now);
    if (m_client->isBusy() || now < m_nextCall)
        return;
    if (!isReady()) {
        readStates(now);
        return;
    }
    if (!followOrders(view, now))
        decide(view, now);
}

void RolloutDecider::readStates(Base::TimePoint now)
{
    m_client->call(m_protocol->readRollouts(), callTimeout, now,
                   [this, now](const std::optional<HttpAnswer> &answer) {
                       boost::leaf::try_handle_all(
                           [&]() -> Base::Result<void> {
                               BOOST_LEAF_AUTO(reading,
                                               m_protocol->rollouts(answer.value_or(HttpAnswer{})));
                               statesRead(reading, now);
                               return {};
                           },
                           [&] { retryLater(bootTimeNow()); });
                   });
}

void RolloutDecider::statesRead(const RolloutReading &reading, Base::TimePoint askedAt)
{
    for (const std::string &it : reading.unreadable)
        m_log->write(LogLine("rollout.unreadable").add("service", it), bootTimeNow());
    m_entries.clear();
    m_storeTime = {reading.storeTime, askedAt};
    for (const Routing::RolloutState &it : reading.states) {
        Entry &entry = m_entries[it.order.service];
        entry.state = it;
        entry.decision = std::make_unique<Routing::RolloutDecision>(it, localTime(it.orderedAt),
                                                                    localTime(it.phaseBeganAt));
        m_stateKnown(it);
    }
}

bool RolloutDecider::followOrders(const RolloutView &view, Base::TimePoint now)
{
    for (const Routing::RolloutOrder &order : view.orders) {
        const auto known = m_entries.find(order.service);
        if (known != m_entries.end() && known->second.state.order.revision >= order.revision)
            continue;
        Routing::RolloutState state;
        state.order = order;
        const auto versions = view.servers.find(order.service);
        if (versions != view.servers.end()) {
            for (const auto &[version, n] : versions->second) {
                if (version != order.version)
                    state.oldVersions.push_back(version);
            }
        }
        state.orderedAt = state.phaseBeganAt = storeTime(now);
        write(state, known == m_entries.end() ? 0 : known->second.state.revision, now);
        return true;
    }
    return false;
}

Routing::RolloutInput RolloutDecider::inputOf(const Routing::RolloutState &state,
                                              const RolloutView &view) const
{
    Routing::RolloutInput input;
    input.isOrdered = std::ranges::any_of(view.orders, [&](const Routing::RolloutOrder &it) {
        return it.service == state.order.service && it.revision == state.order.revision;
    });
    for (const Routing::RolloutEvidence &it : view.evidence) {
        if (it.service == state.order.service && it.orderRevision == state.order.revision)
            input.evidence = it;
    }
    const auto versions = view.servers.find(state.order.service);
    if (versions == view.servers.end())
        return input;
    for (const auto &[version, n] : versions->second)
        (version == state.order.version ? input.newServers : input.oldServers) += n;
    return input;
}

void RolloutDecider::decide(const RolloutView &view, Base::TimePoint now)
{
    for (auto &[service, entry] : m_entries) {
        const Routing::RolloutInput input = inputOf(entry.state, view);
        const std::optional<Routing::RolloutStep> step = entry.decision->advance(input, now);
        if (!step)
            continue;
        Routing::RolloutState next = entry.state;
        next.phase = step->phase;
        next.phaseBeganAt = storeTime(now);
        logStep(next, *step, input, now);
        write(next, entry.state.revision, now);
        return;
    }
}

void RolloutDecider::write(Routing::RolloutState state, std::uint64_t previousRevision,
                           Base::TimePoint now)
{
    const HttpCall call = m_protocol->writeRollout(state, previousRevision);
    m_client->call(call, callTimeout, now,
                   [this, state = std::move(state)](const std::optional<HttpAnswer> &answer) {
                       written(state, answer);
                   });
}

void RolloutDecider::written(Routing::RolloutState state, const std::optional<HttpAnswer> &answer)
{
    const Base::TimePoint now = bootTimeNow();
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(writing, m_protocol->rolloutWritten(answer.value_or(HttpAnswer{})));
            if (!writing.isWritten) {
                // Another host has decided meanwhile.
                stop();
                return {};
            }
            if (!m_storeTime)
                return {};
            state.revision = writing.revision;
            Entry &entry = m_entries[state.order.service];
            // What was compared so far counts in the next phase, too.
            if (entry.decision && entry.state.order.revision == state.order.revision)
                entry.decision->enter(state, localTime(state.phaseBeganAt));
            else
                entry.decision = std::make_unique<Routing::RolloutDecision>(
                    state, localTime(state.orderedAt), localTime(state.phaseBeganAt));
            entry.state = state;
            m_stateKnown(state);
            return {};
        },
        // The write may have been performed or may be performed later, so that the state in the
        // store is not known.
        [&] {
            stop();
            retryLater(now);
        });
}

void RolloutDecider::logStep(const Routing::RolloutState &state, const Routing::RolloutStep &step,
                             const Routing::RolloutInput &input, Base::TimePoint now)
{
    LogLine line("rollout.decided");
    line.add("service", state.order.service)
        .add("to", state.order.version)
        .add("order", state.order.revision)
        .add("phase", Routing::nameOf(step.phase))
        .add("reason", step.reason)
        .add("ageMs", now - localTime(state.orderedAt))
        .add("requests", input.evidence.requests)
        .add("exposed", input.evidence.exposed)
        .add("runningBefore", input.evidence.runningBefore)
        .add("newServers", input.newServers)
        .add("oldServers", input.oldServers);
    if (step.fault) {
        line.add("route", step.fault->route)
            .add("measure", step.fault->measure)
            .add("answers", step.fault->answers)
            .add("bad", step.fault->bad)
            .add("usualShare", step.fault->usualShare);
    }
    m_log->write(line, now);
}

Base::Milliseconds RolloutDecider::storeTime(Base::TimePoint now) const
{
    return m_storeTime->first + std::chrono::duration_cast<milliseconds>(now - m_storeTime->second);
}

Base::TimePoint RolloutDecider::localTime(Base::Milliseconds time) const
{
    return m_storeTime->second + (time - m_storeTime->first);
}

void RolloutDecider::retryLater(Base::TimePoint now)
{
    m_nextCall = now + retryPause;
}

} // namespace Gateway
