// What becomes of the requests that a dispatcher has placed.

#include "routing/dispatcher.h"

#include <algorithm>
#include <utility>

namespace Routing {

namespace {

using std::chrono::milliseconds;

/// The minimum time between two placement passes. A pass takes up to a millisecond of a fast core,
/// and requests end hundreds of times a second.
constexpr Base::Duration placementInterval = milliseconds(10);

} // namespace

void Dispatcher::started(WorkId id, Base::TimePoint now)
{
    const auto it = m_placed.find(id);
    if (it == m_placed.end() || it->second.isStarted)
        return;
    Placed &placed = it->second;
    placed.isStarted = true;
    releaseFetch(placed);
    m_shares.recordStarted(placed.work.account, tokensOf(placed.work), now);
    ServerState *const state = m_pool.find(placed.server);
    if (!state)
        return;
    state->own.unreadTokens -= std::min(state->own.unreadTokens, placed.unreadTokens);
    state->health.recordStart(now - placed.at, placed.expected, now);
    state->starts.record(now - placed.at, placed.usual, now);
}

void Dispatcher::silent(WorkId id, Base::TimePoint now)
{
    const auto it = m_placed.find(id);
    if (it == m_placed.end() || it->second.isSilent)
        return;
    Placed &placed = it->second;
    placed.isSilent = true;
    ServerState *const state = m_pool.find(placed.server);
    if (!state)
        return;
    state->health.record(AttemptOutcome::Silent, now);
    if (!placed.isStarted)
        state->starts.record(now - placed.at, placed.usual, now);
}

Decisions Dispatcher::finished(WorkId id, AttemptOutcome outcome, Base::TimePoint now)
{
    Decisions decisions;
    const auto it = m_placed.find(id);
    if (it == m_placed.end())
        return decisions;
    Placed placed = std::move(it->second);
    m_placed.erase(it);
    releaseFetch(placed);
    if (ServerState *const server = m_pool.find(placed.server)) {
        ServerState &state = *server;
        state.own.running -= std::min(state.own.running, 1U);
        if (!placed.isStarted)
            state.own.unreadTokens -= std::min(state.own.unreadTokens, placed.unreadTokens);
        const bool isNews = outcome != AttemptOutcome::Silent || !placed.isSilent;
        if (isNews)
            state.health.record(outcome, now);
        if (outcome == AttemptOutcome::Silent && isNews && !placed.isStarted)
            state.starts.record(now - placed.at, placed.usual, now);
        if (outcome == AttemptOutcome::Served && !m_pool.isEngine()) {
            m_overloadGate.recordAnswer(now);
            state.health.recordStart(now - placed.at, placed.expected, now);
        }
        if (outcome == AttemptOutcome::Unreachable)
            state.cache.clear();
        // The server may be starting again, and its entry tells so only later.
        if (outcome == AttemptOutcome::Unreachable)
            m_pool.presumeCold(state, now);
    }
    if (!m_waiting.isEmpty() && now - m_placedWaitingAt >= placementInterval)
        placeWaiting(now, decisions);
    return decisions;
}

void Dispatcher::releaseFetch(Placed &placed)
{
    if (!placed.fetch)
        return;
    if (ServerState *const source = m_pool.find(placed.fetch->from)) {
        double &outgoing = source->outgoingFetchMilliseconds;
        outgoing = std::max(0.0, outgoing - placed.fetch->milliseconds);
    }
    placed.fetch.reset();
}

} // namespace Routing
