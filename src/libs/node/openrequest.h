#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "node/event.h"
#include "node/storedanswer.h"
#include "scheduling/retrypolicy.h"
#include "settings/configuration.h"

#include <cstdint>
#include <string>

namespace Node {

enum class RequestState {
    Claiming,   ///< Waits for its claim in the table.
    Waiting,    ///< Waits for a permit.
    Sent,       ///< On its way to, or running at, a backend server.
    BackingOff, ///< Failed, and waits before the next attempt.
};

/// A caller's request that has no final answer yet, at its entry host.
struct OpenRequest
{
    Base::RequestKey key;
    CallerRequest asked;
    Base::CustomerId customer;
    Settings::ClassTarget target;
    Base::PoolId pool;
    RequestState state = RequestState::Waiting;
    bool isCallerGone = false;
    /// The caller reads slower than its answer comes, and the server is held back.
    bool isBlocked = false;

    /// The current attempt, from 1.
    std::uint32_t attempt = 0;
    std::uint32_t shard = 0;
    /// Router asked for the permit, or that gave it.
    Base::HostId home;
    Base::Incarnation homeIncarnation = 0;
    Base::ServerId server;
    /// The attempt that the permit in hand was given for. A stream that is resumed keeps it.
    AttemptId permit;
    /// While Pausing: what comes next, and when.
    Scheduling::RetryStep nextRetryStep = Scheduling::RetryStep::GiveUp;
    Base::TimePoint nextRetryStepAt;
    /// Fencing number of the claim; 0 if there is none.
    std::uint64_t fence = 0;

    Base::TimePoint arrivedAt;
    Base::TimePoint permitRequestedAt;
    Base::TimePoint sentAt;
    /// When the backend server last said anything.
    Base::TimePoint lastResponseAt;
    Base::TimePoint firstPartAt;
    bool hasFirstPart = false;
    bool isAnswerStarted = false;
    /// Some attempt may have run: it is never said again that nothing ran.
    bool mayHaveRun = false;

    std::uint64_t nextPart = 0;
    std::string streamName;
    /// Received under the permit in hand: in all, and as far as its home was told.
    Base::ServiceUnits received = 0;
    Base::ServiceUnits charged = 0;
    /// Received under earlier permits.
    Base::ServiceUnits receivedBefore = 0;
    /// Of work that is not repeatable: kept for a repeat of the call.
    StoredAnswer storedAnswer;

    bool needsClaim() const { return !asked.isRepeatable; }
    AttemptId attemptId() const { return {key, attempt}; }
    bool holdsPermit() const
    {
        const bool isResuming = state == RequestState::BackingOff
                                && nextRetryStep == Scheduling::RetryStep::ResumeStream;
        return state == RequestState::Sent || isResuming;
    }
};

} // namespace Node
